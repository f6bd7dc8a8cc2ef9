package http1

import (
	"time"

	"savorystep"
)

// A Config configures a Pool.
type Config struct {
	// ResponseBudget bounds the memory of all response bodies held at the same
	// time, 64 MiB by default.
	ResponseBudget *MemoryBudget
	// HeaderNames are the header names that endpoints use.
	HeaderNames savorystep.HeaderNames
	// DialTimeout bounds the opening of a connection, 350 ms by default.
	DialTimeout time.Duration
	// TCPUserTimeout bounds how long sent bytes and keep-alive probes may remain
	// unacknowledged, 650 ms by default. It distinguishes a machine that is down
	// from one that takes long to respond.
	TCPUserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the endpoint states no
	// keep-alive timeout, 4 s by default.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds the body of one response, 16 MiB by default.
	MaxResponseBytes int64
}

const (
	// defaultDialTimeout is five round trips of 70 ms between regions. A lost SYN
	// is retransmitted only after 1 s, so trying another endpoint is faster.
	defaultDialTimeout = 350 * time.Millisecond
	// defaultTCPUserTimeout spans two retransmissions on a link that loses
	// packets, at 200 to 300 ms each.
	defaultTCPUserTimeout = 650 * time.Millisecond
	// defaultIdleTimeout is below the shortest idle timeout of endpoints, 5 s.
	defaultIdleTimeout         = 4 * time.Second
	defaultMaxResponseBytes    = 16 << 20
	defaultResponseBudgetBytes = 64 << 20
	// idleTimeoutMargin is subtracted from the keep-alive timeout that an endpoint
	// states, which is in whole seconds and starts when the endpoint sends its
	// response.
	idleTimeoutMargin = 600 * time.Millisecond
)

// withDefaults returns the configuration with defaults for zero limits.
func (c Config) withDefaults() Config {
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.TCPUserTimeout, defaultTCPUserTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.MaxResponseBytes, defaultMaxResponseBytes)
	if c.ResponseBudget == nil {
		c.ResponseBudget = NewMemoryBudget(defaultResponseBudgetBytes)
	}
	return c
}

func setDefault[T ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
