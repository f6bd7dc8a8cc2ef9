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
	// Dial opens connections. If it is nil, the client dials with a timeout of 3 s.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Origin is the region or IP address that the client declares in its lookups and
	// requests. If it is empty, entries use the address of the connection.
	Origin string
	// SeedAddresses are the addresses of entries for the first lookup. They stay known
	// after it.
	SeedAddresses []savorystep.Address
	// DefaultTimeout is the timeout, lookups and retries included, of a request that
	// has none of its own. The default is 10 s.
	DefaultTimeout time.Duration
	// MaxAttempts is the maximum number of times that a request is sent. 0 means 4, a
	// negative value means 1.
	MaxAttempts int
	// IgnoreRetryDelay makes the client retry immediately even if the refusal names a
	// retry delay. It serves to measure the effect of the delay.
	IgnoreRetryDelay bool
	// MaxIdleConnectionsPerEntry is the maximum number of idle connections that are kept
	// open to each entry. The default is 64.
	MaxIdleConnectionsPerEntry int
}
