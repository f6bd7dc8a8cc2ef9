package caller

import "time"

// Limits bound the load that callers can put on an instance, and the duration of its
// shutdown. Values that are not positive stand for the default.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// DefaultDeadline is the time that a request without a Savorystep-Deadline header
	// may take.
	DefaultDeadline time.Duration
	// DrainTimeout is the maximum time that a shutdown waits for requests in flight,
	// after ShutdownDelay.
	DrainTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int
	// ShutdownDelay is how long an instance that shuts down still accepts requests,
	// since callers may have cached a lookup response that names it. The default
	// is the TTL of lookup responses.
	ShutdownDelay time.Duration
	// MaxLookupsPerSecond is the maximum rate of lookups.
	MaxLookupsPerSecond float64
	// StallTimeout is the maximum time to read a request header, to wait for more of a
	// request body, and to write one part of a response to a slow caller.
	StallTimeout time.Duration
}

// The default limits, and the bounds on what a request may contain.
const (
	defaultMaxBodyBytes        = 1 << 30
	defaultMaxConnections      = 20000
	defaultDeadline            = 30 * time.Second
	defaultDrainTimeout        = 10 * time.Minute
	defaultMaxHeaderBytes      = 32 << 10
	defaultMaxLookupsPerSecond = 20000
	defaultStallTimeout        = 20 * time.Second
	maxDeadline                = time.Hour
	maxServiceNameBytes        = 128
	maxRequestIDBytes          = 128
	maxIdempotencyKeyBytes     = 256
)

// withDefaults returns the limits with defaults in place of values that are not positive.
func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&l.MaxConnections, defaultMaxConnections)
	setDefault(&l.DefaultDeadline, defaultDeadline)
	setDefault(&l.DrainTimeout, defaultDrainTimeout)
	setDefault(&l.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&l.ShutdownDelay, lookupTTL)
	setDefault(&l.MaxLookupsPerSecond, defaultMaxLookupsPerSecond)
	setDefault(&l.StallTimeout, defaultStallTimeout)
	return l
}

// setDefault sets value to defaultValue if it is not positive.
func setDefault[T int | int64 | float64 | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
