package store

import (
	"net/http"
	"time"

	"savorystep"
)

// DefaultClientTimeout bounds one call of a Client. It is several times the
// round trip between the most distant regions, so that a timeout indicates a
// fault.
const DefaultClientTimeout = 2 * time.Second

// A ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the platform's address.
	Address savorystep.Address
	// Timeout bounds one call. 0 means DefaultClientTimeout.
	Timeout time.Duration
	// Clock is the system clock if it is nil.
	Clock savorystep.Clock
	// Transport makes the calls, except for registrations. If it is nil, the
	// client creates its own transport.
	Transport http.RoundTripper
}

// withDefaults returns the configuration with unset fields replaced by the
// defaults.
func (c ClientConfig) withDefaults() ClientConfig {
	if c.Timeout <= 0 {
		c.Timeout = DefaultClientTimeout
	}
	if c.Clock == nil {
		c.Clock = savorystep.SystemClock{}
	}
	return c
}
