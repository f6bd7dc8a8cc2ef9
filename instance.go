package savorystep

// An Instance is one process of savorystep as the platform lists it.
type Instance struct {
	ID    InstanceID `cbor:"1,keyasint" json:"id"`
	Place Place      `cbor:"2,keyasint" json:"place"`
	State State      `cbor:"3,keyasint" json:"state"`
	// Caller, Operator and Peer are the addresses of its listeners.
	Caller   Address `cbor:"4,keyasint" json:"caller"`
	Operator Address `cbor:"5,keyasint" json:"operator"`
	Peer     Address `cbor:"6,keyasint" json:"peer"`
}
