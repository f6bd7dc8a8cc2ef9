package savorystep

import "time"

// A Shift moves a percentage of a region's traffic to another region.
type Shift struct {
	From Region `json:"from"`
	To   Region `json:"to"`
	// Percent is the percentage of the client blocks of From that move to To, 0 to
	// 100. A drain is a shift of 100 percent.
	Percent int `json:"percent"`
	// Cap is the maximum number of requests of the shift in flight over all
	// instances. 0 means that the shift has no cap of its own.
	Cap Slots `json:"cap,omitempty"`
	// GrowthPerSecond is the rate in percentage points per second at which the
	// moved share grows up to Percent. 0 means DefaultGrowthPerSecond.
	GrowthPerSecond int `json:"growth,omitempty"`
	// GrowthStart is the time at which the moved share starts to grow from 0. For a
	// new shift it is the time of acceptance. When Percent or GrowthPerSecond of a
	// shift changes, it is set such that the moved share continues from its
	// current value.
	GrowthStart time.Time `json:"start,omitzero"`
}

// DefaultGrowthPerSecond is the growth of a shift in percentage points per second if
// the record sets none.
const DefaultGrowthPerSecond = 5
