package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"savorystep"
)

// giveUpUpload ends an attempt whose caller stopped sending the body. The
// endpoint is not to blame.
func (p *Pool) giveUpUpload(a *attempt, cause error) error {
	p.end(a, p.clock.Now().Sub(a.began), verdictNone)
	kind := savorystep.KindUpstreamFailed
	if a.once {
		kind = savorystep.KindOutcomeUnknown
	}
	failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Err: cause}
	return savorystep.WrapError(kind, failure, "the caller's body ended early")
}

// giveUp ends an attempt without an answer and returns its error.
func (p *Pool) giveUp(callerCtx context.Context, a *attempt, cause error, sent bool) error {
	held := time.Duration(0)
	if sent {
		held = p.clock.Now().Sub(a.began)
	}
	var own *savorystep.Error
	failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: sent, Err: cause}
	if s := a.state.Load(); s != nil && s.gateError() != nil {
		p.end(a, held, verdictNone)
		if errors.Is(s.gateError(), errHoldExpired) {
			return savorystep.WrapError(savorystep.KindCapReached, failure, "the budget unit expired before the request was sent")
		}
		return savorystep.WrapError(savorystep.KindOverloaded, failure, "the deadline passed before the request was sent")
	}
	switch {
	case !sent && errors.As(cause, &own):
		p.end(a, held, verdictNone)
		return own
	case !sent && callerCtx.Err() != nil:
		p.end(a, held, verdictNone)
		return savorystep.WrapError(savorystep.KindOverloaded, failure, "the request ended before it was sent")
	case !sent:
		p.end(a, held, connectVerdict(cause))
		return savorystep.WrapError(savorystep.KindNoUpstream, failure, "no connection to the endpoint")
	case callerCtx.Err() != nil && !a.silent.Load():
		p.end(a, held, p.lateVerdict(a))
		return savorystep.WrapError(savorystep.KindDeadlineExceeded, failure, "no answer before the deadline")
	}
	if a.silent.Load() {
		failure.Err = errSilent
	}
	failure.EndpointDied = p.checkDeath(a, cause)
	verdict := verdictFailed
	if failure.EndpointDied {
		verdict = verdictGone
	}
	p.end(a, held, verdict)
	kind := savorystep.KindUpstreamFailed
	if a.once {
		kind = savorystep.KindOutcomeUnknown
	}
	return savorystep.WrapError(kind, failure, "the connection to the endpoint failed")
}

// lateVerdict judges an attempt that its caller left. The endpoint failed if
// the answer was late far beyond its usual time.
func (p *Pool) lateVerdict(a *attempt) verdict {
	g := a.lease.group
	g.mu.Lock()
	usual := a.lease.endpoint.usual
	g.mu.Unlock()
	if p.clock.Now().Sub(a.began) >= max(p.limits.OldConnProgressTimeout/4, unusualFactor*usual) {
		return verdictFailed
	}
	return verdictNone
}

// connectVerdict returns the verdict on an endpoint to which no connection was
// made. A refusal is certain, any other failure may be the network's.
func connectVerdict(cause error) verdict {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return verdictGone
	}
	return verdictFailed
}

// checkDeath reports whether an endpoint ended while it ran a request, and
// tells the quarantine. A closed connection alone is no death: the endpoint
// must also refuse a new one.
func (p *Pool) checkDeath(a *attempt, cause error) bool {
	if a.silent.Load() || !closedByPeer(cause) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), deathDial)
	defer cancel()
	var dialer net.Dialer
	made, err := dialer.DialContext(ctx, "tcp", string(a.lease.info.Address))
	if err == nil {
		_ = made.Close()
		return false
	}
	if a.route.died != nil {
		a.route.died(a.lease.info.ID)
	}
	return true
}

// closedByPeer reports whether the other side ended the connection.
func closedByPeer(err error) bool {
	// After the first byte, net/http dials only to replace a connection that
	// the other side closed.
	var op *net.OpError
	if errors.Is(err, errReplayed) || errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) {
		return true
	}
	// net/http hides the cause in these errors.
	text := err.Error()
	return strings.Contains(text, "server closed idle connection") || strings.Contains(text, "connection broken") ||
		strings.Contains(text, "readLoopPeekFailLocked")
}
