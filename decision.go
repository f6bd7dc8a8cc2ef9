package savorystep

// A Decision is the region chosen for a block of clients, with the reason.
type Decision struct {
	Region Region `json:"region"`
	// Shift is the shift that moved the block to Region, or nil.
	Shift *Shift `json:"shift,omitempty"`
	// Failover is true if Region replaces a region that cannot serve the block.
	Failover bool `json:"failover,omitempty"`
	// Reason explains the choice in one short sentence.
	Reason string `json:"reason"`
}
