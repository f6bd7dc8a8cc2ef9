package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"savorystep"
)

// A Config configures an Exchange. Fields with a zero value get the documented
// default.
type Config struct {
	// Self is this instance. Peers reach Handler at its PeerAddress.
	Self savorystep.Instance
	// Registry lists the instances. It is polled. It may be nil or unavailable.
	Registry savorystep.Registry
	// Seeds are the peer addresses of other instances. They are the only source
	// of addresses while the platform is down.
	Seeds []savorystep.Address
	// ChangeSource provides the changes that peers request. It may be set later
	// with SetChangeSource.
	ChangeSource savorystep.ChangeSource
	// Clock defaults to the system clock.
	Clock savorystep.Clock
	// HLC defaults to a hybrid logical clock that is based on Clock. The
	// recorder should use the same one.
	HLC *HLC
	// Recorder records connections and suspicions as events. It may be nil.
	Recorder savorystep.EventRecorder
	// Secret is shared by all instances. Peers with a different secret are
	// rejected.
	Secret string
	// TLS, if not nil, configures connections to peers, which then use wss. The
	// server that runs Handler is configured separately.
	TLS *tls.Config
	// Dial opens network connections. It defaults to the DialContext method of
	// a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SubjectGroup returns the group of a scoped fact's subject, for example
	// the service and region of an endpoint. In a fleet too large for a full
	// mesh, scoped facts are sent only to the instances that publish facts of
	// the same group. By default each subject is a group of its own.
	SubjectGroup func(subject string) string

	// BytesPerSecond is the budget of sent bytes per second, default 5000.
	BytesPerSecond int
	// GossipInterval is the time between gossip rounds, default 100 ms.
	GossipInterval time.Duration
	// Fanout is the number of peers per gossip round, default 3.
	Fanout int
	// HeartbeatInterval is the maximum time between two frames sent on a
	// connection, default 500 ms.
	HeartbeatInterval time.Duration
	// PeerTimeout is the time without a received frame after which a connection
	// is closed and its peer becomes suspected, default three heartbeat
	// intervals.
	PeerTimeout time.Duration
	// MaxConnections is the maximum number of connections, default 32. If the
	// number of other instances is at most three quarters of it, this instance
	// connects to all of them.
	MaxConnections int
	// PollInterval is the time between reads of the registry with up to 12
	// instances, default 2 s. Larger fleets poll less often.
	PollInterval time.Duration
}

// Defaults of the configuration. The times come from docs/design.md.
const (
	defaultBytesPerSecond    = 5000
	defaultGossipInterval    = 100 * time.Millisecond
	defaultFanout            = 3
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultMaxConnections    = 32
	defaultPollInterval      = 2 * time.Second
	// peerTimeoutHeartbeats is the default PeerTimeout in heartbeat intervals.
	// A process that is busy for a second misses one or two heartbeats.
	peerTimeoutHeartbeats = 3
	// handshakeTimeout limits dialing and the exchange of hello frames.
	handshakeTimeout = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = savorystep.SystemClock{}
	}
	if c.HLC == nil {
		c.HLC = NewHLC(c.Clock)
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.SubjectGroup == nil {
		c.SubjectGroup = func(subject string) string { return subject }
	}
	setDefault(&c.BytesPerSecond, defaultBytesPerSecond)
	setDefault(&c.GossipInterval, defaultGossipInterval)
	setDefault(&c.Fanout, defaultFanout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.PeerTimeout, peerTimeoutHeartbeats*c.HeartbeatInterval)
	setDefault(&c.MaxConnections, defaultMaxConnections)
	setDefault(&c.PollInterval, defaultPollInterval)
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// fullMeshLimit returns the greatest number of other instances at which an
// instance connects to all. The other connections are left for instances that
// choose this one.
func (c Config) fullMeshLimit() int {
	return c.MaxConnections * 3 / 4
}

// neighbourCount returns the number of neighbours that an instance chooses in a
// fleet too large for a full mesh. On average as many others choose it, so that
// half of the connections are left for an uneven choice and for brokers.
func (c Config) neighbourCount() int {
	return max(2, c.MaxConnections/4)
}
