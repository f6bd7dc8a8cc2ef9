package upstream

import (
	"net"
	"time"
)

// Limits configures a Pool. Zero values select the defaults given with the
// fields.
type Limits struct {
	// wrapConn is Config.WrapConn.
	wrapConn func(c net.Conn, address string) net.Conn

	// PollInterval is the interval at which the platform's endpoint list is
	// read by up to 12 instances; 1 s by default. More instances read less
	// often.
	PollInterval time.Duration
	// TickInterval is the interval of checking connections and queues and of
	// publishing facts; 50 ms by default.
	TickInterval time.Duration
	// LoadPageInterval is the interval at which the load page of an endpoint
	// used in the last 10 s is read; 1 s by default, never if negative. Other
	// endpoints are read at a tenth of this rate, because a read costs an
	// endpoint up to 6 ms.
	LoadPageInterval time.Duration
	// LoadPageTimeout bounds the read of a load page; 1 s by default.
	LoadPageTimeout time.Duration
	// DialTimeout bounds the establishment of a connection; 1 s by default.
	DialTimeout time.Duration
	// ProgressTimeout is how long a connection may transfer no byte while a
	// response is due on it; 5 s by default.
	ProgressTimeout time.Duration
	// OldConnProgressTimeout replaces ProgressTimeout for a connection once a
	// newer connection to the same endpoint has returned a response; 1 s by
	// default. It is raised to at least 8 times the endpoint's average service
	// time.
	OldConnProgressTimeout time.Duration
	// TCPUserTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection; 3 s by default.
	TCPUserTimeout time.Duration
	// CloseTimeout bounds for how long the slot and the permits of a request that was given
	// up stay in use while its endpoint may still run it; 3 s by default, as TCPUserTimeout:
	// after that the kernel gives up a close that the endpoint's host does not acknowledge.
	CloseTimeout time.Duration
	// BackgroundTimeout bounds an at-most-once request that continues after its
	// caller has gone; 60 s by default.
	BackgroundTimeout time.Duration
	// QueueFactor bounds a queue to this multiple of the usable slots; 4 by
	// default.
	QueueFactor int
	// MaxCountAge is the longest time for which a peer's count of requests in
	// flight is used; 1 s by default, about ten rounds of gossip.
	MaxCountAge time.Duration
	// MinCountInterval is the lower bound of the assumed interval between a
	// peer's counts; 100 ms by default, one round of gossip. A count starts to
	// fade after 2 average intervals and expires after 4.
	MinCountInterval time.Duration
	// DrainBroadcastTimeout bounds the broadcast that an endpoint is draining;
	// 200 ms by default.
	DrainBroadcastTimeout time.Duration
	// MaxReplayBytes bounds the bytes of a request body that are buffered for a
	// retry; 64 KiB by default.
	MaxReplayBytes int
	// Health configures the health tracking of endpoints.
	Health HealthLimits
	// Ramp limits the growth of failover traffic into a region.
	Ramp RampConfig
}

// withDefaults returns the limits with zero values replaced by the defaults.
func (l Limits) withDefaults() Limits {
	setDefault(&l.PollInterval, time.Second)
	setDefault(&l.TickInterval, 50*time.Millisecond)
	setDefault(&l.LoadPageInterval, time.Second)
	setDefault(&l.LoadPageTimeout, time.Second)
	setDefault(&l.DialTimeout, time.Second)
	setDefault(&l.ProgressTimeout, 5*time.Second)
	setDefault(&l.OldConnProgressTimeout, time.Second)
	setDefault(&l.TCPUserTimeout, 3*time.Second)
	setDefault(&l.CloseTimeout, 3*time.Second)
	setDefault(&l.BackgroundTimeout, time.Minute)
	setDefault(&l.QueueFactor, 4)
	setDefault(&l.MaxCountAge, time.Second)
	setDefault(&l.MinCountInterval, 100*time.Millisecond)
	setDefault(&l.DrainBroadcastTimeout, 200*time.Millisecond)
	setDefault(&l.MaxReplayBytes, 64<<10)
	l.Health = l.Health.withDefaults()
	return l
}

// lateResponse returns the time after which a response of an endpoint is late: far more
// than a round trip between regions, and short enough to tell before
// OldConnProgressTimeout whether the endpoint answers.
func (l *Limits) lateResponse() time.Duration {
	return l.OldConnProgressTimeout / 4
}

// setDefault replaces a zero value by def.
func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}
