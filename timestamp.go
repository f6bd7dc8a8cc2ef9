package savorystep

// A Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// Wall is the wall clock time in nanoseconds since the Unix epoch.
	Wall int64 `cbor:"1,keyasint" json:"wall"`
	// Logical orders timestamps with the same Wall.
	Logical uint32 `cbor:"2,keyasint" json:"logical"`
}
