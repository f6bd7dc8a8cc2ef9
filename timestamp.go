package savorystep

// A Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// Wall is in nanoseconds since the Unix epoch.
	Wall    int64  `cbor:"1,keyasint" json:"wall"`
	Logical uint32 `cbor:"2,keyasint" json:"logical"`
}
