package savorystep

// A Share is the part of a service's traffic that a region or one of its
// availability zones receives. An empty Zone means the whole region.
type Share struct {
	Region Region `json:"region"`
	Zone   Zone   `json:"zone,omitempty"`
	// Weight is relative to the weights of the other shares of the record.
	Weight int `json:"weight"`
}
