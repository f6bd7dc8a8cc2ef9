package store

import (
	"time"

	"savorystep"
)

// A LogConfig sets up a Log.
type LogConfig struct {
	Table savorystep.Table
	// Clock is the clock of the machine if it is nil.
	Clock savorystep.Clock
	// Facts, Members, Peers and Recorder may be nil.
	Facts    savorystep.Facts
	Members  savorystep.Members
	Peers    savorystep.PeerChanges
	Recorder savorystep.EventRecorder
	// PeerRevision implements the part of the readiness rule for a platform
	// that is down: it returns the greatest revision that the members report,
	// and true if every member with a recent heartbeat has reported one. It
	// may be nil.
	PeerRevision func(now time.Time) (savorystep.Revision, bool)
	// Period is the time between polls at up to 12 instances. 0 means
	// DefaultPeriod.
	PollInterval time.Duration
	// Slow is how long a read of the table may take before peers are asked. 0
	// means DefaultSlow.
	ReadTimeout time.Duration
}

const (
	// DefaultPeriod is the design's poll period for up to 12 instances.
	DefaultPollInterval = time.Second
	// DefaultSlow is several round trips between regions.
	DefaultReadTimeout = 500 * time.Millisecond
	// tableFirst is the number of instances up to which changes are fetched
	// from the table first. The table takes about two thousand reads a second,
	// too few for a large fleet that hears of a change at once.
	maxTableFirstInstances = 100
)

// withDefaults fills the fields that are not set.
func (c LogConfig) withDefaults() LogConfig {
	if c.Clock == nil {
		c.Clock = savorystep.SystemClock{}
	}
	if c.PollInterval <= 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.ReadTimeout <= 0 {
		c.ReadTimeout = DefaultReadTimeout
	}
	return c
}
