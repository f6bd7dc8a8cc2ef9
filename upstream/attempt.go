package upstream

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
)

var errConnSilent = errors.New("connection made no progress within the timeout")

// An attempt is one request sent to one endpoint.
type attempt struct {
	lease   *lease
	request *savorystep.Request
	options forwardOptions
	// atMostOnce is true for a request that must not run twice. Such a request
	// is not cancelled after its first byte was sent.
	atMostOnce bool
	startedAt  time.Time
	cancel     context.CancelFunc
	body       atomic.Pointer[replayReader]
	conn       atomic.Pointer[conn]
	guard      atomic.Pointer[writeGuard]
	connReused atomic.Bool
	// responseDueSince is the time since which bytes of the response are due,
	// or 0 while none are, in nanoseconds of the Pool's timebase.
	responseDueSince atomic.Int64
	// connSilent is set once the periodic check has found the connection
	// silent, and cleared when a response arrives all the same.
	connSilent atomic.Bool
	// hasResponse is set when the header of the response has arrived, unless
	// isCancelledSilent was set before, which says that the attempt is cancelled
	// because its connection is silent. The group's lock guards both.
	hasResponse, isCancelledSilent bool
	// stopCallerWatch ends the watch that calls onCallerDone.
	stopCallerWatch func() bool
	// cancelCallerCtx releases the context with the caller's deadline.
	cancelCallerCtx context.CancelFunc
	endOnce         sync.Once
}

// onCallerDone cancels the attempt after its caller has gone. An at-most-once
// request continues if a byte of it was sent.
func (a *attempt) onCallerDone() {
	if guard := a.guard.Load(); !a.atMostOnce || guard == nil || !guard.seal() {
		a.cancel()
	}
}

// silentFor returns for how long no byte was transferred while a response was
// due. Time before since does not count, nor time spent waiting for the
// caller's request body.
func (a *attempt) silentFor(now, since int64) time.Duration {
	dueSince := a.responseDueSince.Load()
	c := a.conn.Load()
	if dueSince == 0 || c == nil {
		return 0
	}
	if body := a.body.Load(); body != nil && body.awaitingSource.Load() {
		return 0
	}
	return time.Duration(now - max(since, dueSince, c.lastActivity.Load()))
}

// mayRunOn returns the connection on which the endpoint may still run a request that ended
// with a verdict, or nil if it does not run it.
func (a *attempt) mayRunOn(v verdict) *conn {
	guard := a.guard.Load()
	if guard == nil {
		return nil
	}
	if v == verdictSuccess || v == verdictShed {
		guard.setAnswered()
	}
	return guard.mayRunOn()
}
