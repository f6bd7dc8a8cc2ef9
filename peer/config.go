package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"savorystep"
)

// A Config configures an exchange. Zero values take the defaults named below.
type Config struct {
	// Self is this instance. Its Peer address is where others reach Handler.
	Self savorystep.Instance
	// Registry lists the instances; it is polled and may be down or nil.
	Registry savorystep.Registry
	// Seeds are the peer addresses of other instances. They are the only
	// source of addresses while the platform is down.
	Seeds []savorystep.Address
	// ChangeSource answers the wants of peers. It may be set later with SetSource.
	ChangeSource savorystep.ChangeSource
	// Clock defaults to the machine's.
	Clock savorystep.Clock
	// HLC defaults to one over Clock. The recorder should use the same.
	HLC *HLC
	// Recorder may be nil.
	Recorder savorystep.EventRecorder
	// Secret is shared by all instances. A peer with another one is refused.
	Secret string
	// TLS, if not nil, is used to dial peers with wss. The server of Handler
	// has its own.
	TLS *tls.Config
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SubjectGroup names the group of a subject of scoped facts, for example the
	// service and region of an endpoint. In a fleet too large to connect to
	// all, scoped facts go to the instances that state facts of the same
	// group. Nil means that each subject is a group.
	SubjectGroup func(subject string) string

	// BytesPerSecond is the budget of bytes sent per second, default 5000.
	BytesPerSecond int
	// GossipInterval is the time between rounds of the exchange, default 100 ms.
	GossipInterval time.Duration
	// Fanout is the number of peers per round, default 3.
	Fanout int
	// HeartbeatInterval is the greatest time between frames on a connection, default
	// 500 ms.
	HeartbeatInterval time.Duration
	// PeerTimeout is the time without a frame after which a connection is given up
	// and its peer suspected, default three heartbeats.
	PeerTimeout time.Duration
	// MaxConnections is the greatest number of connections, default 32. If there
	// are at most three quarters as many other instances, this instance
	// connects to all.
	MaxConnections int
	// PollInterval is the time between reads of the registry at up to 12 instances,
	// default 2 s.
	PollInterval time.Duration
}

// Defaults of the configuration. The times are those of docs/design.md.
const (
	defaultBytes       = 5000
	defaultRound       = 100 * time.Millisecond
	defaultFanout      = 3
	defaultHeartbeat   = 500 * time.Millisecond
	defaultConnections = 32
	defaultPoll        = 2 * time.Second
	// silentHeartbeats is how many missed heartbeats make a connection silent.
	// One or two are missed when a process is busy for a second.
	silentHeartbeats = 3
	// handshakeTime bounds dialing and the exchange of hellos.
	handshakeTime = 2 * time.Second
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
	setDefault(&c.BytesPerSecond, defaultBytes)
	setDefault(&c.GossipInterval, defaultRound)
	setDefault(&c.Fanout, defaultFanout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeat)
	setDefault(&c.PeerTimeout, silentHeartbeats*c.HeartbeatInterval)
	setDefault(&c.MaxConnections, defaultConnections)
	setDefault(&c.PollInterval, defaultPoll)
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// mesh returns the greatest number of other instances to which an instance
// connects to all. The rest of the connections is left for those that choose
// this instance.
func (c Config) mesh() int {
	return c.MaxConnections * 3 / 4
}

// neighbours returns the number of instances that an instance chooses when
// there are too many to connect to all. As many others choose it on average,
// so half of the connections are left for an uneven choice and for brokers.
func (c Config) neighbours() int {
	return max(2, c.MaxConnections/4)
}
