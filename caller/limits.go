package caller

import "time"

// Limits bound what callers may ask of an entry. Zero values mean the default.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxConnections is the most open connections.
	MaxConnections int
	// DefaultDeadline is the time given to a request that names no deadline.
	DefaultDeadline time.Duration
	// DrainTimeout is how long a stop waits for requests in flight.
	DrainTimeout time.Duration
	// MaxHeaderBytes is the largest request header in bytes.
	MaxHeaderBytes int
	// ShutdownDelay is how long a stop still takes new requests, since callers may
	// hold an answer that names this instance. It defaults to the lifetime of
	// lookups.
	ShutdownDelay time.Duration
	// MaxLookupsPerSecond is the most lookups per second.
	MaxLookupsPerSecond float64
	// StallTimeout is how long a caller may stay silent while it sends a body or
	// reads an answer.
	StallTimeout time.Duration
}

// The default limits.
const (
	defaultBody        = 1 << 30
	defaultConnections = 20000
	defaultDeadline    = 30 * time.Second
	defaultDrain       = 10 * time.Minute
	defaultHeader      = 32 << 10
	defaultLookups     = 20000
	defaultStall       = 20 * time.Second
	maxDeadline        = time.Hour
	maxNameBytes       = 128
	maxRequestIDBytes  = 128
	maxKeyBytes        = 256
)

// withDefaults returns the limits with defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, defaultBody)
	setDefault(&l.MaxConnections, defaultConnections)
	setDefault(&l.DefaultDeadline, defaultDeadline)
	setDefault(&l.DrainTimeout, defaultDrain)
	setDefault(&l.MaxHeaderBytes, defaultHeader)
	setDefault(&l.ShutdownDelay, lookupLifetime)
	setDefault(&l.MaxLookupsPerSecond, defaultLookups)
	setDefault(&l.StallTimeout, defaultStall)
	return l
}

// setDefault sets value to the default if it is not positive.
func setDefault[T int | int64 | float64 | time.Duration](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
	}
}
