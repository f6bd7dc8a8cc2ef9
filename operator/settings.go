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
	Operator AccessSettings
	Limits   LimitSettings
	Log      LogSettings
	// Blocks are sorted by prefix.
	Blocks []savorystep.Block
}

// InstanceSettings say where an instance runs and listens.
type InstanceSettings struct {
	Region   savorystep.Region
	Zone     savorystep.Zone
	Caller   savorystep.Address
	Peer     savorystep.Address
	Operator savorystep.Address
}

// PlatformSettings say how the platform is reached.
type PlatformSettings struct {
	Address savorystep.Address
	Timeout time.Duration
}

// PeerSettings say how other instances are reached.
type PeerSettings struct {
	Seeds  []savorystep.Address
	Secret string
	// Rate is in bytes per second.
	Rate int64
}

// AccessSettings say how operators prove who they are.
type AccessSettings struct {
	Token string
	// Cert, Key and Authority are names of PEM files.
	Cert      string
	Key       string
	Authority string
}

// LimitSettings bound what an instance takes on.
type LimitSettings struct {
	// Header and Body are in bytes.
	Header      int64
	Body        int64
	Connections int
	// Lookups is per second.
	Lookups int
	// Drain is the time that a stop may take.
	Drain time.Duration
}

// LogSettings say what is logged.
type LogSettings struct {
	// Level is the verbosity of klog.
	Level int
}
