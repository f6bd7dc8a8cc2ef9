package http1

import (
	"time"

	"savorystep"
)

// A Config configures a Pool.
type Config struct {
	// ResponseBudget bounds the bodies of all answers that are held together.
	ResponseBudget *MemoryBudget
	// HeaderNames are the names of the endpoints' headers.
	HeaderNames savorystep.HeaderNames
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// TCPUserTimeout bounds the time that sent bytes and keep-alive probes may
	// stay without acknowledgement. It tells a machine that is gone from one
	// that works long.
	TCPUserTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept if the endpoint does not
	// say.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds the body of an answer in bytes.
	MaxResponseBytes int64
}

const (
	// defaultDialTimeout is five round trips of 70 ms between regions. A lost
	// packet is sent again after a second, while another endpoint could work.
	defaultDialTimeout = 350 * time.Millisecond
	// defaultUnacknowledged spans two retransmissions on a link that loses
	// packets, at 200 to 300 ms each.
	defaultUnacknowledged = 650 * time.Millisecond
	// defaultIdle is below the shortest idle timeouts in use, 5 s.
	defaultIdle = 4 * time.Second
	// defaultAnswer bounds the memory for one answer.
	defaultAnswer = 16 << 20
	// defaultAnswers bounds the memory for all answers together.
	defaultAnswers = 64 << 20
	// idleMargin is taken off the idle timeout that an endpoint states, which
	// is in whole seconds and runs from when it sent its answer.
	idleMargin = 600 * time.Millisecond
)

func (c Config) withDefaults() Config {
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.TCPUserTimeout, defaultUnacknowledged)
	setDefault(&c.IdleTimeout, defaultIdle)
	setDefault(&c.MaxResponseBytes, defaultAnswer)
	if c.ResponseBudget == nil {
		c.ResponseBudget = NewMemoryBudget(defaultAnswers)
	}
	return c
}

func setDefault[T ~int64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
