package savorystep

// A Preference says what a service weighs most when a region is chosen.
type Preference string

// The preferences of a record.
const (
	PreferHeadroom Preference = "headroom"
	PreferLatency  Preference = "latency"
)
