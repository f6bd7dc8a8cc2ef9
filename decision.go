package savorystep

// A Decision is the choice of a region for a block of clients.
type Decision struct {
	Region Region `json:"region"`
	// Shift is the shift that moved the block, or nil.
	Shift *Shift `json:"shift,omitempty"`
	// Failover is true if the region replaces one that can't take the block.
	Failover bool `json:"failover,omitempty"`
	// Reason is one short sentence.
	Reason string `json:"reason"`
}
