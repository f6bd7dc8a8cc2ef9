package savorystep

// An Event is an entry of the operators' event timeline.
type Event struct {
	Timestamp Timestamp  `cbor:"1,keyasint" json:"stamp"`
	Instance  InstanceID `cbor:"2,keyasint" json:"instance"`
	Kind      EventKind  `cbor:"3,keyasint" json:"kind"`
	Service   Service    `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	Region    Region     `cbor:"5,keyasint,omitempty" json:"region,omitempty"`
	Request   RequestID  `cbor:"6,keyasint,omitempty" json:"request,omitempty"`
	// Text describes the event in one short sentence.
	Text string `cbor:"7,keyasint" json:"text"`
}
