package store

import (
	"time"

	"savorystep"
)

// A BudgetsConfig holds the settings and parts of Budgets.
type BudgetsConfig struct {
	// LedgerConfig holds Self, Lifetime, Guard, RequestTime and FloorSlots.
	// Zero durations and counts mean the defaults. Requests under a budget
	// must end within RequestTime of their first byte, or their excess after a
	// lost grant is not counted by other instances.
	GrantLedgerConfig
	Table savorystep.Table
	// Registry tells which instances have ended.
	Registry savorystep.Registry
	// Clock defaults to the clock of the machine.
	Clock savorystep.Clock
	// Recorder receives events of kind EventGrant. It may be nil.
	Recorder savorystep.EventRecorder
	// Timeout bounds each call of the platform. It defaults to 2 s, which
	// leaves time for several attempts between two renewals.
	Timeout time.Duration
	// Tick is the time between two looks at the budgets in use. It defaults to
	// 250 ms.
	RoundPeriod time.Duration
	// Idle is how long after the last Acquire the floor slots of a budget are
	// returned. It defaults to 10 min; a grant is returned within about 20 s.
	IdleTimeout time.Duration
	// Leave bounds the time in which a stop returns grants and floor slots. It
	// defaults to 3 s.
	ReturnTimeout time.Duration
}

// withDefaults returns the configuration with defaults in place of zero
// values.
func (c BudgetsConfig) withDefaults() BudgetsConfig {
	c.GrantLedgerConfig = c.GrantLedgerConfig.withDefaults()
	if c.Clock == nil {
		c.Clock = savorystep.SystemClock{}
	}
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	if c.RoundPeriod == 0 {
		c.RoundPeriod = 250 * time.Millisecond
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 10 * time.Minute
	}
	if c.ReturnTimeout == 0 {
		c.ReturnTimeout = 3 * time.Second
	}
	return c
}
