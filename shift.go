package savorystep

import "time"

// A Shift moves a part of the traffic that one region would receive to
// another.
type Shift struct {
	From Region `json:"from"`
	To   Region `json:"to"`
	// Percent is the part of From's blocks that moves, 0 to 100. A drain is a
	// shift of 100 percent.
	Percent int `json:"percent"`
	// Cap is the most requests of the shift that may be in flight at once over
	// all instances. 0 means no cap of its own.
	Cap Slots `json:"cap,omitempty"`
	// GrowthPerSecond is the most percent points by which the moved part grows per
	// second. 0 means DefaultGrowth.
	GrowthPerSecond int `json:"growth,omitempty"`
	// GrowthStart is when the shift was accepted.
	GrowthStart time.Time `json:"start,omitzero"`
}

// DefaultGrowthPerSecond is the growth of a shift in percent points per second.
const DefaultGrowthPerSecond = 5
