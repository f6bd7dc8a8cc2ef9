package savorystep

// An Instance is a savorystep process as listed by the platform.
type Instance struct {
	ID    InstanceID `cbor:"1,keyasint" json:"id"`
	Place Place      `cbor:"2,keyasint" json:"place"`
	State State      `cbor:"3,keyasint" json:"state"`
	// CallerAddress, OperatorAddress and PeerAddress are the addresses of the
	// listeners for callers, operators and other instances.
	CallerAddress   Address `cbor:"4,keyasint" json:"caller"`
	OperatorAddress Address `cbor:"5,keyasint" json:"operator"`
	PeerAddress     Address `cbor:"6,keyasint" json:"peer"`
}
