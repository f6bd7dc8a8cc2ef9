package store

import (
	"net/http"
	"time"

	"savorystep"
)

// DefaultTimeout bounds one call of a Client. It is several times the round
// trip between the most distant regions, so that a timeout means a fault.
const DefaultClientTimeout = 2 * time.Second

// A Config sets up a Client.
type ClientConfig struct {
	// Address is where the platform listens.
	Address savorystep.Address
	// Timeout bounds one call. 0 means DefaultTimeout.
	Timeout time.Duration
	// Clock is the clock of the machine if it is nil.
	Clock savorystep.Clock
	// Transport makes the calls. It is a transport of the client's own if it is
	// nil. Registrations do not use it.
	Transport http.RoundTripper
}

// withDefaults fills the fields that are not set.
func (c ClientConfig) withDefaults() ClientConfig {
	if c.Timeout <= 0 {
		c.Timeout = DefaultClientTimeout
	}
	if c.Clock == nil {
		c.Clock = savorystep.SystemClock{}
	}
	return c
}
