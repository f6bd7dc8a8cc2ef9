package store

import (
	"time"

	"savorystep"
)

// A BudgetsConfig configures Budgets.
type BudgetsConfig struct {
	// GrantLedgerConfig holds Self and the parameters of the grants; zero
	// durations and counts mean the defaults. Requests under a budget must end
	// within MaxRequestTime of their first byte. Requests that run longer after
	// the grant is lost are not counted by other instances and may exceed the
	// cap.
	GrantLedgerConfig
	Table savorystep.Table
	// Era returns the latest era that any response of the table stated and the time
	// of that response. An instance that holds floor slots only makes no calls for
	// its budgets, and notices a restore by this. It may be nil.
	Era func() (savorystep.StoreEra, time.Time)
	// Registry lists the instances that have ended. It may be nil.
	Registry savorystep.Registry
	// Clock is the system clock by default.
	Clock savorystep.Clock
	// EventRecorder receives events of kind EventGrant. It may be nil.
	EventRecorder savorystep.EventRecorder
	// Timeout bounds each call to the platform. It is 2 s by default, which
	// leaves time for several attempts between two renewals.
	Timeout time.Duration
	// RoundPeriod is the time between two rounds of the worker. It is 250 ms by
	// default.
	RoundPeriod time.Duration
	// IdleTimeout is how long after the last Acquire the floor slots of a
	// budget are returned. It is 10 min by default. An unused grant is returned
	// within about 20 s.
	IdleTimeout time.Duration
	// ReturnTimeout bounds the time for returning grants and floor slots at
	// shutdown. It is 3 s by default.
	ReturnTimeout time.Duration
}

// withDefaults returns the configuration with zero values replaced by the
// defaults.
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
