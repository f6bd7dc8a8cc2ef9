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
	// From is the region or IP number that the client calls from.
	From string
	// Seeds are entries to ask for the first lookup.
	Seeds []savorystep.Address
	// Timeout is the time given to a lookup and to a request without one of
	// its own.
	Timeout time.Duration
	// Attempts is the most times that a request is sent. 0 means 4, negative
	// values mean once.
	Attempts int
	// IgnoreDelay sends again at once although the refusal names a delay. It
	// is there to measure what the delay does.
	IgnoreDelay bool
	// Connections is the most idle connections to each entry.
	Connections int
}
