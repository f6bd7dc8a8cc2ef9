package savorystep

// A Preference is the criterion that has priority when a region is chosen for a
// service.
type Preference string

// The preferences that a record may have.
const (
	// PreferHeadroom sends traffic to another region before requests queue in the
	// region, so that slots stay free.
	PreferHeadroom Preference = "headroom"
	// PreferLatency keeps traffic in the region until the wait in its queue costs
	// more than the round trip to another region.
	PreferLatency Preference = "latency"
)
