package upstream

import (
	"net"
	"time"
)

// Limits are the limits of a Pool. Zero values take the defaults given with
// the fields.
type Limits struct {
	// wrap is Config.Wrap.
	wrap func(made net.Conn, address string) net.Conn

	// Poll is the interval of reading the platform's list at up to 12
	// instances; 1 s by default.
	Poll time.Duration
	// Tick is the interval of checks on silence and queues and of publishing
	// counts in flight; 50 ms by default.
	Tick time.Duration
	// Page is the interval of reading the load page of an endpoint used in the
	// last 10 s; 1 s by default, never if negative. A probe costs an endpoint up to 6 ms, so
	// other endpoints are read at a tenth of this rate.
	Page time.Duration
	// PageTimeout bounds the read of a load page; 1 s by default.
	PageTimeout time.Duration
	// Dial bounds the set-up of a connection; 1 s by default.
	Dial time.Duration
	// Progress is how long a connection may stay silent while an answer is due
	// on it; 5 s by default.
	Progress time.Duration
	// Proven replaces Progress for a connection once a newer one to the same
	// endpoint has answered; 1 s by default. It is raised to 8 times the
	// endpoint's usual time for a request.
	Proven time.Duration
	// Unacknowledged is how long sent data may stay unacknowledged before the
	// kernel ends the connection; 3 s by default.
	Unacknowledged time.Duration
	// Background bounds how long an at-most-once request runs on after its
	// caller has gone; 60 s by default.
	Background time.Duration
	// QueueFactor bounds a queue to this many times the usable slots; 4 by
	// default.
	QueueFactor int
	// FactAge is how long a peer's count in flight holds at most; 1 s by
	// default, about ten rounds of gossip.
	FactAge time.Duration
	// FactInterval is the least interval at which peers repeat their counts;
	// 100 ms by default, one round of gossip. A count fades after 2 intervals
	// and is gone after 4.
	FactInterval time.Duration
	// PushTimeout bounds the push of a drain to peers; 200 ms by default.
	PushTimeout time.Duration
	// Replay bounds the bytes of a request body kept for a retry; 64 KiB by
	// default.
	Replay int
	// Health are the limits of the health of endpoints.
	Health HealthLimits
	// Ramp limits the growth of failover into a region.
	Ramp RampConfig
}

// withDefaults returns the limits with defaults for zero values.
func (l Limits) withDefaults() Limits {
	setDefault(&l.Poll, time.Second)
	setDefault(&l.Tick, 50*time.Millisecond)
	setDefault(&l.Page, time.Second)
	setDefault(&l.PageTimeout, time.Second)
	setDefault(&l.Dial, time.Second)
	setDefault(&l.Progress, 5*time.Second)
	setDefault(&l.Proven, time.Second)
	setDefault(&l.Unacknowledged, 3*time.Second)
	setDefault(&l.Background, time.Minute)
	setDefault(&l.QueueFactor, 4)
	setDefault(&l.FactAge, time.Second)
	setDefault(&l.FactInterval, 100*time.Millisecond)
	setDefault(&l.PushTimeout, 200*time.Millisecond)
	setDefault(&l.Replay, 64<<10)
	l.Health = l.Health.withDefaults()
	return l
}

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}
