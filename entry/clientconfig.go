package entry

import (
	"context"
	"net"
	"time"

	"savorystep"
)

// A ClientConfig configures a Client.
type ClientConfig struct {
	Clock savorystep.Clock
	// Dial opens connections; nil means a plain TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Origin is the region or IP number that the client calls from.
	Origin string
	// SeedAddresses are entries to ask for the first lookup.
	SeedAddresses []savorystep.Address
	// DefaultTimeout is the time given to a lookup and to a request without one of
	// its own.
	DefaultTimeout time.Duration
	// MaxAttempts is the most times that a request is sent. 0 means 4, negative
	// values mean once.
	MaxAttempts int
	// IgnoreRetryDelay sends again at once although the refusal names a delay. It
	// is there to measure what the delay does.
	IgnoreRetryDelay bool
	// MaxIdleConnectionsPerEntry is the most idle connections to each entry.
	MaxIdleConnectionsPerEntry int
}
