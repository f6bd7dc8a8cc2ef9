package operator

import (
	"time"

	"savorystep"
)

// Settings are the settings of one instance.
type Settings struct {
	Instance InstanceSettings
	Platform PlatformSettings
	Peer     PeerSettings
	Operator OperatorSettings
	Limits   LimitSettings
	Log      LogSettings
	// Blocks are sorted by prefix.
	Blocks []savorystep.Block
}

// InstanceSettings say where an instance runs and listens.
type InstanceSettings struct {
	Region          savorystep.Region
	Zone            savorystep.Zone
	CallerAddress   savorystep.Address
	PeerAddress     savorystep.Address
	OperatorAddress savorystep.Address
}

// PlatformSettings say how the platform is reached.
type PlatformSettings struct {
	Address     savorystep.Address
	CallTimeout time.Duration
}

// PeerSettings say how other instances are reached.
type PeerSettings struct {
	Seeds  []savorystep.Address
	Secret string
	// MaxBytesPerSecond is in bytes per second.
	MaxBytesPerSecond int64
}

// OperatorSettings say how operators prove who they are.
type OperatorSettings struct {
	Token string
	// CertFile, Key and Authority are names of PEM files.
	CertFile string
	KeyFile  string
	CAFile   string
}

// LimitSettings bound what an instance takes on.
type LimitSettings struct {
	// MaxHeaderBytes and Body are in bytes.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	MaxConnections int
	// MaxLookupsPerSecond is per second.
	MaxLookupsPerSecond int
	// DrainTimeout is the time that a stop may take.
	DrainTimeout time.Duration
}

// LogSettings say what is logged.
type LogSettings struct {
	// Verbosity is the verbosity of klog.
	Verbosity int
}
