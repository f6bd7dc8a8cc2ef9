package savorystep

// A Place is an availability zone together with the region it lies in.
type Place struct {
	Region Region `cbor:"1,keyasint" json:"region"`
	Zone   Zone   `cbor:"2,keyasint" json:"zone"`
}
