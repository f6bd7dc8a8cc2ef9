package caller

import "time"

// Limits bound what callers may ask of an entry. Zero values mean the default.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64
	// Connections is the most open connections.
	Connections int
	// Deadline is the time given to a request that names no deadline.
	Deadline time.Duration
	// Drain is how long a stop waits for requests in flight.
	Drain time.Duration
	// Header is the largest request header in bytes.
	Header int
	// Linger is how long a stop still takes new requests, since callers may
	// hold an answer that names this instance. It defaults to the lifetime of
	// lookups.
	Linger time.Duration
	// Lookups is the most lookups per second.
	Lookups float64
	// Stall is how long a caller may stay silent while it sends a body or
	// reads an answer.
	Stall time.Duration
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
	setDefault(&l.Body, defaultBody)
	setDefault(&l.Connections, defaultConnections)
	setDefault(&l.Deadline, defaultDeadline)
	setDefault(&l.Drain, defaultDrain)
	setDefault(&l.Header, defaultHeader)
	setDefault(&l.Linger, lookupLifetime)
	setDefault(&l.Lookups, defaultLookups)
	setDefault(&l.Stall, defaultStall)
	return l
}

// setDefault sets value to the default if it is not positive.
func setDefault[T int | int64 | float64 | time.Duration](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
	}
}
