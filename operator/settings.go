package operator

import (
	"time"

	"savorystep"
)

// Settings are the parsed settings file of an instance.
type Settings struct {
	Instance InstanceSettings
	Platform PlatformSettings
	Peer     PeerSettings
	Operator AuthSettings
	Limits   LimitSettings
	Log      LogSettings
	// Blocks are the client blocks with their home regions, sorted by prefix.
	Blocks []savorystep.Block
}

// InstanceSettings hold the region and zone of an instance and the addresses of its
// listeners.
type InstanceSettings struct {
	Region          savorystep.Region
	Zone            savorystep.Zone
	CallerAddress   savorystep.Address
	PeerAddress     savorystep.Address
	OperatorAddress savorystep.Address
}

// PlatformSettings configure the calls to the platform.
type PlatformSettings struct {
	Address savorystep.Address
	// CallTimeout bounds a single call.
	CallTimeout time.Duration
}

// PeerSettings configure the connections to other instances.
type PeerSettings struct {
	// Seeds are peer addresses of other instances, the only source of addresses while
	// the platform is down.
	Seeds []savorystep.Address
	// Secret authenticates instances to each other.
	Secret string
	// MaxBytesPerSecond bounds what the instance sends to all peers together.
	MaxBytesPerSecond int64
}

// AuthSettings configure TLS and authentication of the operators' listener.
type AuthSettings struct {
	// Token is the bearer token of operators. It may be empty.
	Token string
	// CertFile, KeyFile and CAFile are the names of PEM files. They may be empty.
	// CAFile contains the certificate authorities of client certificates.
	CertFile string
	KeyFile  string
	CAFile   string
}

// LimitSettings bound the load that callers put on an instance.
type LimitSettings struct {
	// MaxHeaderBytes and MaxBodyBytes bound a single request.
	MaxHeaderBytes      int64
	MaxBodyBytes        int64
	MaxConnections      int
	MaxLookupsPerSecond int
	// DrainTimeout bounds the wait for requests in flight at shutdown, and then the wait
	// for idempotency keys that are not settled.
	DrainTimeout time.Duration
}

// LogSettings configure the log.
type LogSettings struct {
	// Verbosity is the verbosity level of klog.
	Verbosity int
}
