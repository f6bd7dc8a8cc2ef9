package store

import (
	"time"

	"savorystep"
)

// A LogConfig configures a Log.
type LogConfig struct {
	Table savorystep.Table
	// Clock is the system clock if it is nil.
	Clock savorystep.Clock
	// Facts, Members, Peers and EventRecorder may be nil.
	Facts         savorystep.Facts
	Members       savorystep.Members
	Peers         savorystep.PeerChanges
	EventRecorder savorystep.EventRecorder
	// PeerRevision implements the readiness rule for a platform that is
	// unavailable: it returns the greatest revision that the members report,
	// and true if every member with a recent heartbeat has reported one. It may
	// be nil.
	PeerRevision func(now time.Time) (savorystep.Revision, bool)
	// PollInterval is the time between polls of the table with up to 12
	// instances; it grows with more. 0 means DefaultPollInterval.
	PollInterval time.Duration
	// ReadTimeout bounds a catch-up from the table, after which changes are
	// requested from peers, and a catch-up from one peer. 0 means
	// DefaultReadTimeout.
	ReadTimeout time.Duration
}

const (
	// DefaultPollInterval is the interval that the design sets for up to 12
	// instances.
	DefaultPollInterval = time.Second
	// DefaultReadTimeout is several times the round trip between regions.
	DefaultReadTimeout = 500 * time.Millisecond
	// maxTableFirstInstances is the number of instances up to which changes are
	// fetched from the table first. The table takes about two thousand reads
	// per second, too few for a large fleet in which all instances learn of a
	// change at once.
	maxTableFirstInstances = 100
)

// withDefaults returns the configuration with unset fields replaced by the
// defaults.
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
