package savorystep

// A Decision is the choice of a region for a block of clients.
type Decision struct {
	Region Region `json:"region"`
	// Shift is the shift that moved the block, or nil.
	Shift *Shift `json:"shift,omitempty"`
	// Reason is one short sentence.
	Reason string `json:"reason"`
}
