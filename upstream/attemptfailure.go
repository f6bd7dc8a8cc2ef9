package upstream

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"time"

	"savorystep"
)

// endBrokenUpload ends an attempt whose caller stopped sending the request
// body. It does not count as a failure of the endpoint.
func (p *Pool) endBrokenUpload(a *attempt, cause error) error {
	p.endAttempt(a, p.clock.Now().Sub(a.startedAt), verdictNeutral)
	kind := savorystep.KindUpstreamFailed
	if a.atMostOnce {
		kind = savorystep.KindOutcomeUnknown
	}
	failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Err: cause}
	return savorystep.WrapError(kind, failure, "request body of the caller ended early")
}

// endFailed ends an attempt without a response and returns its error.
func (p *Pool) endFailed(callerCtx context.Context, a *attempt, cause error, sent bool) error {
	heldFor := time.Duration(0)
	if sent {
		heldFor = p.clock.Now().Sub(a.startedAt)
	}
	var classified *savorystep.Error
	failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: sent, Err: cause}
	if guard := a.guard.Load(); guard != nil && guard.precheckError() != nil {
		p.endAttempt(a, heldFor, verdictNeutral)
		if errors.Is(guard.precheckError(), errPermitExpired) {
			return savorystep.WrapError(savorystep.KindCapReached, failure, "budget permit expired before the request was sent")
		}
		return savorystep.WrapError(savorystep.KindOverloaded, failure, "deadline exceeded or caller gone before the request was sent")
	}
	switch {
	case !sent && errors.As(cause, &classified):
		p.endAttempt(a, heldFor, verdictNeutral)
		return classified
	case !sent && callerCtx.Err() != nil:
		p.endAttempt(a, heldFor, verdictNeutral)
		return savorystep.WrapError(savorystep.KindOverloaded, failure, "request cancelled or out of time before it was sent")
	case !sent:
		p.endAttempt(a, heldFor, connectVerdict(cause))
		return savorystep.WrapError(savorystep.KindNoUpstream, failure, "request not sent: connection to the endpoint failed")
	}
	return p.endSentFailed(callerCtx, a, failure, heldFor)
}

// endSentFailed ends an attempt that was sent and has no response, and returns its error.
func (p *Pool) endSentFailed(callerCtx context.Context, a *attempt, failure *AttemptError, heldFor time.Duration) error {
	// An endpoint may crash after the caller of a request that is not cancelled has left.
	failure.EndpointCrashed = p.confirmCrash(a, failure.Err)
	if callerCtx.Err() != nil && !a.connSilent.Load() && !failure.EndpointCrashed {
		p.endAttempt(a, heldFor, p.timeoutVerdict(a))
		return savorystep.WrapError(savorystep.KindDeadlineExceeded, failure, "no response before the deadline or the caller's cancellation")
	}
	if a.connSilent.Load() {
		failure.Err = errConnSilent
	}
	verdict := verdictFailed
	if failure.EndpointCrashed {
		verdict = verdictNotListening
	}
	p.endAttempt(a, heldFor, verdict)
	kind := savorystep.KindUpstreamFailed
	if a.atMostOnce {
		kind = savorystep.KindOutcomeUnknown
	}
	return savorystep.WrapError(kind, failure, "connection to the endpoint failed after the request was sent")
}

// timeoutVerdict returns the verdict on an attempt whose caller has gone or run
// out of time. It is a failure of the endpoint if the attempt took far longer
// than its average service time.
func (p *Pool) timeoutVerdict(a *attempt) verdict {
	g := a.lease.group
	g.mu.Lock()
	serviceTime := a.lease.endpoint.serviceTime
	g.mu.Unlock()
	if p.clock.Now().Sub(a.startedAt) >= max(p.limits.lateResponse(), silenceFactor*serviceTime) {
		return verdictFailed
	}
	return verdictNeutral
}

// connectVerdict returns the verdict on an endpoint to which no connection was
// established. A refused connection is certain, any other failure may be due to
// the network.
func connectVerdict(cause error) verdict {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return verdictNotListening
	}
	return verdictFailed
}

// confirmCrash reports whether an endpoint crashed while it ran a request, and
// calls onEndpointCrashed if so. A closed connection alone is no crash: the
// endpoint must also refuse a new connection. One that can't be reached may run.
func (p *Pool) confirmCrash(a *attempt, cause error) bool {
	if a.connSilent.Load() || !a.closedByEndpoint(cause) {
		return false
	}
	if !RefusesConnections(context.Background(), a.lease.info.Address) {
		return false
	}
	if a.options.onEndpointCrashed != nil {
		a.options.onEndpointCrashed(a.lease.info)
	}
	return true
}

// RefusesConnections reports whether nothing listens at an address. It returns false if
// the address can't be reached within crashCheckTimeout: what listens there may run.
func RefusesConnections(ctx context.Context, address savorystep.Address) bool {
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	probe, err := dialer.DialContext(ctx, "tcp", string(address))
	if err == nil {
		_ = probe.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// closedByEndpoint reports whether the endpoint closed the connection that the request
// was sent on.
func (a *attempt) closedByEndpoint(cause error) bool {
	if errors.Is(cause, context.Canceled) || errors.Is(cause, context.DeadlineExceeded) {
		return false
	}
	if guard := a.guard.Load(); guard != nil && guard.isClosedByEndpoint() {
		return true
	}
	// What is no response makes the transport close the connection first. net/http does
	// not wrap the cause in this error.
	return strings.Contains(cause.Error(), "connection broken")
}
