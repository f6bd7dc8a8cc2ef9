package savorystep

// A Record is a steering record: it says which names lead to a service and how
// the service's traffic spreads. Records of every schema decode to it.
type Record struct {
	// Schema is the version of the schema the operator wrote it in, 1 or 2.
	Schema  int     `json:"schema"`
	Service Service `json:"service"`
	// Aliases are the names besides the service's own that lead to it,
	// misspellings included.
	Aliases []Name `json:"names,omitempty"`
	// Prefer is PreferLatency when the record does not say.
	Prefer Preference `json:"prefer,omitempty"`
	// Shares spread the traffic of callers. A region without a share receives
	// no traffic but that of shifts. Callers stay in their own region if it
	// has a share.
	Shares []Share `json:"shares"`
	// Shifts move traffic between regions.
	Shifts []Shift `json:"shifts,omitempty"`
	// InFlightLimits hold the most requests in flight into a region, over all
	// instances. A region without a limit is bounded by its slots.
	InFlightLimits map[Region]Slots `json:"limits,omitempty"`
}
