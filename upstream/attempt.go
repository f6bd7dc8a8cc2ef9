package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
)

var errSilent = errors.New("the connection was silent for too long")

// An attempt is one request sent to one endpoint.
type attempt struct {
	lease   *lease
	request *savorystep.Request
	route   route
	// once is true for a request that may run at most once. It is not
	// cancelled after its first byte.
	once   bool
	began  time.Time
	cancel context.CancelFunc
	body   atomic.Pointer[replayReader]
	conn   atomic.Pointer[conn]
	state  atomic.Pointer[sending]
	reused atomic.Bool
	// sentAt is when the transport was last called, waiting is since when
	// bytes of an answer are due, 0 while none are.
	sentAt  atomic.Int64
	waiting atomic.Int64
	// silent is set once the watch found the connection silent.
	silent atomic.Bool
	// answered is set when the header of the answer arrived.
	answered atomic.Bool
	stop     func() bool
	// endCaller frees the context that carries the caller's deadline.
	endCaller context.CancelFunc
	done      sync.Once
}

// leave ends an attempt whose caller has gone. A request that may run at most
// once goes on if a byte of it was sent.
func (a *attempt) leave() {
	if s := a.state.Load(); !a.once || s == nil || !s.seal() {
		a.cancel()
	}
}

// silence returns for how long nothing moved while an answer was due.
func (a *attempt) silence(now int64) time.Duration {
	since := a.waiting.Load()
	c := a.conn.Load()
	if since == 0 || c == nil {
		return 0
	}
	if body := a.body.Load(); body != nil && body.blocked.Load() {
		return 0
	}
	return time.Duration(now - max(since, c.activity.Load()))
}
