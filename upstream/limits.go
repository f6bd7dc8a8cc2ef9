package upstream

import (
	"net"
	"time"
)

// Limits are the limits of a Pool. Zero values take the defaults given with
// the fields.
type Limits struct {
	// wrap is Config.Wrap.
	wrapConn func(made net.Conn, address string) net.Conn

	// PollInterval is the interval of reading the platform's list at up to 12
	// instances; 1 s by default.
	PollInterval time.Duration
	// TickInterval is the interval of checks on silence and queues and of publishing
	// counts in flight; 50 ms by default.
	TickInterval time.Duration
	// LoadPageInterval is the interval of reading the load page of an endpoint used in the
	// last 10 s; 1 s by default, never if negative. A probe costs an endpoint up to 6 ms, so
	// other endpoints are read at a tenth of this rate.
	LoadPageInterval time.Duration
	// LoadPageTimeout bounds the read of a load page; 1 s by default.
	LoadPageTimeout time.Duration
	// DialTimeout bounds the set-up of a connection; 1 s by default.
	DialTimeout time.Duration
	// ProgressTimeout is how long a connection may stay silent while an answer is due
	// on it; 5 s by default.
	ProgressTimeout time.Duration
	// OldConnProgressTimeout replaces Progress for a connection once a newer one to the same
	// endpoint has answered; 1 s by default. It is raised to 8 times the
	// endpoint's usual time for a request.
	OldConnProgressTimeout time.Duration
	// TCPUserTimeout is how long sent data may stay unacknowledged before the
	// kernel ends the connection; 3 s by default.
	TCPUserTimeout time.Duration
	// BackgroundTimeout bounds how long an at-most-once request runs on after its
	// caller has gone; 60 s by default.
	BackgroundTimeout time.Duration
	// QueueFactor bounds a queue to this many times the usable slots; 4 by
	// default.
	QueueFactor int
	// MaxCountAge is how long a peer's count in flight holds at most; 1 s by
	// default, about ten rounds of gossip.
	MaxCountAge time.Duration
	// MinCountInterval is the least interval at which peers repeat their counts;
	// 100 ms by default, one round of gossip. A count fades after 2 intervals
	// and is gone after 4.
	MinCountInterval time.Duration
	// DrainPushTimeout bounds the push of a drain to peers; 200 ms by default.
	DrainPushTimeout time.Duration
	// MaxReplayBytes bounds the bytes of a request body kept for a retry; 64 KiB by
	// default.
	MaxReplayBytes int
	// Health are the limits of the health of endpoints.
	Health HealthLimits
	// Ramp limits the growth of failover into a region.
	Ramp RampConfig
}

// withDefaults returns the limits with defaults for zero values.
func (l Limits) withDefaults() Limits {
	setDefault(&l.PollInterval, time.Second)
	setDefault(&l.TickInterval, 50*time.Millisecond)
	setDefault(&l.LoadPageInterval, time.Second)
	setDefault(&l.LoadPageTimeout, time.Second)
	setDefault(&l.DialTimeout, time.Second)
	setDefault(&l.ProgressTimeout, 5*time.Second)
	setDefault(&l.OldConnProgressTimeout, time.Second)
	setDefault(&l.TCPUserTimeout, 3*time.Second)
	setDefault(&l.BackgroundTimeout, time.Minute)
	setDefault(&l.QueueFactor, 4)
	setDefault(&l.MaxCountAge, time.Second)
	setDefault(&l.MinCountInterval, 100*time.Millisecond)
	setDefault(&l.DrainPushTimeout, 200*time.Millisecond)
	setDefault(&l.MaxReplayBytes, 64<<10)
	l.Health = l.Health.withDefaults()
	return l
}

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}
