package standin

import "savorystep"

// A PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Table holds the rows. The default is a new Table.
	Table savorystep.Table
	// Objects holds the objects. The default is a new object store.
	Objects savorystep.Objects
	// Clock gives the times of the lists. The default is the system clock.
	Clock savorystep.Clock
	// Faults are the initial faults.
	Faults PlatformFaults
}

// withDefaults returns the configuration with defaults for the fields that are
// not set.
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
