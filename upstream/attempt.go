package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
)

var errConnSilent = errors.New("the connection was silent for too long")

// An attempt is one request sent to one endpoint.
type attempt struct {
	lease   *lease
	request *savorystep.Request
	options forwardOptions
	// once is true for a request that may run at most once. It is not
	// cancelled after its first byte.
	atMostOnce bool
	startedAt  time.Time
	cancel     context.CancelFunc
	body       atomic.Pointer[replayReader]
	conn       atomic.Pointer[conn]
	guard      atomic.Pointer[writeGuard]
	connReused atomic.Bool
	// sentAt is when the transport was last called, waiting is since when
	// bytes of an answer are due, 0 while none are.
	roundTripAt    atomic.Int64
	answerDueSince atomic.Int64
	// silent is set once the watch found the connection silent.
	connSilent atomic.Bool
	// answered is set when the header of the answer arrived.
	headerReceived  atomic.Bool
	stopCallerWatch func() bool
	// endCaller frees the context that carries the caller's deadline.
	cancelCallerCtx context.CancelFunc
	endOnce         sync.Once
}

// leave ends an attempt whose caller has gone. A request that may run at most
// once goes on if a byte of it was sent.
func (a *attempt) onCallerDone() {
	if s := a.guard.Load(); !a.atMostOnce || s == nil || !s.seal() {
		a.cancel()
	}
}

// silence returns for how long nothing moved while an answer was due.
func (a *attempt) silentFor(now int64) time.Duration {
	since := a.answerDueSince.Load()
	c := a.conn.Load()
	if since == 0 || c == nil {
		return 0
	}
	if body := a.body.Load(); body != nil && body.awaitingSource.Load() {
		return 0
	}
	return time.Duration(now - max(since, c.lastActivity.Load()))
}
