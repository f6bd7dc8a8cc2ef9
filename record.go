package savorystep

// A Record is the steering record of a service: the names that resolve to the
// service and the distribution of its traffic over regions. Records of all schema
// versions are decoded to this type.
type Record struct {
	// Schema is the schema version that the operator's file uses, 1 or 2.
	Schema  int     `json:"schema"`
	Service Service `json:"service"`
	// Aliases are additional names that resolve to the service, including
	// misspellings.
	Aliases []Name `json:"names,omitempty"`
	// Prefer defaults to PreferLatency.
	Prefer Preference `json:"prefer,omitempty"`
	// Shares distribute the traffic of callers over regions. Callers are served in
	// their own region if it has a share. A region without a share receives only
	// the traffic of shifts.
	Shares []Share `json:"shares"`
	// Shifts move traffic between regions.
	Shifts []Shift `json:"shifts,omitempty"`
	// InFlightLimits are the maximum numbers of requests in flight into a region,
	// over all instances. A region without a limit is limited by its slots.
	InFlightLimits map[Region]Slots `json:"limits,omitempty"`
}
