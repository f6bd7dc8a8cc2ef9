package savorystep

// A Place is an availability zone with the region that it belongs to.
type Place struct {
	Region Region `cbor:"1,keyasint" json:"region"`
	Zone   Zone   `cbor:"2,keyasint" json:"zone"`
}
