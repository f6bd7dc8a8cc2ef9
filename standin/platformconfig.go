package standin

import "savorystep"

// A PlatformConfig sets up a Platform.
type PlatformConfig struct {
	// Table is a new Table if it is nil.
	Table savorystep.Table
	// Objects is a new object store if it is nil.
	Objects savorystep.Objects
	// Clock is the clock of the machine if it is nil.
	Clock savorystep.Clock
	// Faults are the faults at the start.
	Faults PlatformFaults
}

// withDefaults fills the fields that are not set.
func (c PlatformConfig) withDefaults() PlatformConfig {
	if c.Table == nil {
		c.Table = NewTable()
	}
	if c.Objects == nil {
		c.Objects = NewObjects()
	}
	if c.Clock == nil {
		c.Clock = savorystep.SystemClock{}
	}
	return c
}
