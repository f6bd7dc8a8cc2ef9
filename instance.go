package savorystep

// An Instance is one process of savorystep as the platform lists it.
type Instance struct {
	ID    InstanceID `cbor:"1,keyasint" json:"id"`
	Place Place      `cbor:"2,keyasint" json:"place"`
	State State      `cbor:"3,keyasint" json:"state"`
	// CallerAddress, Operator and Peer are the addresses of its listeners.
	CallerAddress   Address `cbor:"4,keyasint" json:"caller"`
	OperatorAddress Address `cbor:"5,keyasint" json:"operator"`
	PeerAddress     Address `cbor:"6,keyasint" json:"peer"`
}
