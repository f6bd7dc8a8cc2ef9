package ingress

import (
	"sync/atomic"
	"time"
)

// The stages of a proxy, in the order in which it passes through them.
const (
	stageServing int32 = iota
	// stageDraining means that requests are served and their connections closed,
	// so that callers connect to another instance.
	stageDraining
	// stageRejecting means that new requests get a 503.
	stageRejecting
)

// responseMargin is the time that a shutdown leaves to write the response to a request
// that has lasted until its deadline: five round trips of 70 ms between regions.
const responseMargin = 350 * time.Millisecond

// A drainState is how far the shutdown of a proxy has come. It is safe for concurrent
// use.
type drainState struct {
	stage atomic.Int32
	// endsAt is when the connections of callers are closed, nil while there is no
	// shutdown.
	endsAt atomic.Pointer[time.Time]
}

// canFinish reports whether a request with the given deadline is certainly answered
// before the connections of callers are closed.
func (d *drainState) canFinish(deadline time.Time) bool {
	endsAt := d.endsAt.Load()
	return endsAt == nil || !deadline.After(endsAt.Add(-responseMargin))
}
