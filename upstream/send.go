package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// maxRoundTrips bounds how often a request is passed to a transport when a
// kept-alive connection was closed before a byte was sent.
const maxRoundTrips = 3

// crashCheckTimeout bounds the check whether an endpoint that closed a
// connection still accepts new ones.
const crashCheckTimeout = 500 * time.Millisecond

// errNoFraming is the error for a response whose end cannot be distinguished
// from a lost connection.
var errNoFraming = errors.New("response has neither a content length nor chunked encoding")

// An outcome is the result of an attempt.
type outcome struct {
	response *savorystep.Response
	err      error
}

// send sends a request with a lease. An at-most-once request is not cancelled
// after its first byte was sent. If it has an idempotency key, send waits for
// its response even if ctx ends; otherwise send returns and the attempt
// continues in the background.
func (p *Pool) send(ctx context.Context, request *savorystep.Request, leased *lease, options forwardOptions) (*savorystep.Response, error) {
	callerCtx, cancelCaller := withDeadline(ctx, request.Deadline)
	a := &attempt{
		lease: leased, request: request, options: options, startedAt: p.clock.Now(),
		atMostOnce: request.IdempotencyKey != "" || !request.Idempotent,
	}
	sendCtx, cancel := callerCtx, cancelCaller
	if a.atMostOnce {
		sendCtx, cancel = context.WithTimeout(context.WithoutCancel(ctx), p.limits.BackgroundTimeout)
	}
	a.cancel = cancel
	a.stopCallerWatch = context.AfterFunc(callerCtx, a.onCallerDone)
	a.cancelCallerCtx = cancelCaller
	p.registerAttempt(a)
	if !a.atMostOnce || request.IdempotencyKey != "" {
		return p.runRecovered(sendCtx, callerCtx, a).unpack()
	}
	// The end of the attempt also cancels callerCtx, so the wait uses a context
	// of its own.
	waitCtx, cancelWait := withDeadline(ctx, request.Deadline)
	defer cancelWait()
	result := make(chan outcome, 1)
	p.background.Go(func() { result <- p.runRecovered(sendCtx, callerCtx, a) })
	if o, ok := awaitOutcome(waitCtx, result); ok {
		return o.unpack()
	}
	a.onCallerDone()
	if !a.guard.Load().wasSent() {
		return (<-result).unpack()
	}
	p.background.Go(func() {
		if o := <-result; o.response != nil {
			_ = o.response.Body.Close()
		}
	})
	err := &AttemptError{Endpoint: leased.info.ID, Sent: true, Err: waitCtx.Err()}
	return nil, savorystep.WrapError(savorystep.KindDeadlineExceeded, err, "request was sent and continues without its caller")
}

// awaitOutcome waits for an outcome. It returns false if ctx ends before there is one. If
// the process stood still, both may have come since: then the outcome counts.
func awaitOutcome(ctx context.Context, result <-chan outcome) (outcome, bool) {
	select {
	case o := <-result:
		return o, true
	case <-ctx.Done():
	}
	select {
	case o := <-result:
		return o, true
	default:
		return outcome{}, false
	}
}

// unpack returns the fields of the outcome.
func (o outcome) unpack() (*savorystep.Response, error) {
	return o.response, o.err
}

// withDeadline adds a deadline to a context unless the deadline is zero.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// registerAttempt adds an attempt to those that tick checks.
func (p *Pool) registerAttempt(a *attempt) {
	g := a.lease.group
	g.mu.Lock()
	defer g.mu.Unlock()
	a.lease.endpoint.attempts[a] = struct{}{}
}

// runRecovered is runAttempt, but for a panic, which ends the attempt: the request fails
// with an unknown execution.
func (p *Pool) runRecovered(sendCtx, callerCtx context.Context, a *attempt) outcome {
	return p.background.panics.recoverOutcome(a.request, func() outcome {
		hasReturned := false
		defer func() {
			if !hasReturned {
				p.endAttempt(a, p.clock.Now().Sub(a.startedAt), verdictNeutral)
			}
		}()
		o := p.runAttempt(sendCtx, callerCtx, a)
		hasReturned = true
		return o
	})
}

// runAttempt passes a request to transports until one returns a response or it
// must not be tried again.
func (p *Pool) runAttempt(sendCtx, callerCtx context.Context, a *attempt) outcome {
	source := a.request.Body
	if source == nil || a.request.BodyLength == 0 {
		source = http.NoBody
	}
	body := newReplayBody(source, p.limits.MaxReplayBytes)
	newConn := a.options.newConn
	for trips := 1; ; trips++ {
		response, err := p.roundTrip(sendCtx, callerCtx, a, body, newConn)
		if err == nil {
			return p.acceptResponse(a, response)
		}
		a.responseDueSince.Store(0)
		guard := a.guard.Load()
		sent := guard != nil && guard.seal()
		closedBeforeSend := !sent && a.connReused.Load() && guard.precheckError() == nil && !body.limitExceeded()
		if closedBeforeSend && trips < maxRoundTrips && errors.Join(sendCtx.Err(), callerCtx.Err()) == nil {
			newConn = true
			continue
		}
		if sent && body.sourceError() != nil && !a.connSilent.Load() {
			return outcome{err: p.endBrokenUpload(a, body.sourceError())}
		}
		return outcome{err: p.endFailed(callerCtx, a, err, sent)}
	}
}

// roundTrip passes a request to a transport once.
func (p *Pool) roundTrip(sendCtx, callerCtx context.Context, a *attempt, body *replayBody, newConn bool) (*http.Response, error) {
	guard := &writeGuard{precheck: func() error {
		if callerCtx.Err() != nil {
			return errCallerDone
		}
		return a.lease.checkPermits(p.clock.Now())
	}}
	a.guard.Store(guard)
	a.conn.Store(nil)
	a.connReused.Store(false)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*conn)
		if !ok {
			return
		}
		a.connReused.Store(info.Reused)
		c.lastActivity.Store(p.base.now())
		c.guard.Store(guard)
		a.conn.Store(c)
	}}
	request, err := p.newHTTPRequest(httptrace.WithClientTrace(sendCtx, trace), a, body)
	if err != nil {
		return nil, err
	}
	a.responseDueSince.Store(p.base.now())
	response, err := a.lease.conns.transport(newConn).RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if !p.beginResponse(a) {
		_ = response.Body.Close()
		return nil, errConnSilent
	}
	return response, nil
}

// newHTTPRequest returns the HTTP request for the endpoint.
func (p *Pool) newHTTPRequest(ctx context.Context, a *attempt, body *replayBody) (*http.Request, error) {
	reader, ok := body.open()
	if !ok {
		return nil, errBodyUnavailable
	}
	path := a.request.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	request, err := http.NewRequestWithContext(ctx, a.request.Method, "http://"+string(a.lease.info.Address)+path, nil)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "invalid request path or method")
	}
	a.body.Store(reader)
	request.ContentLength = a.request.BodyLength
	request.Body = reader
	if a.request.BodyLength == 0 {
		request.Body = http.NoBody
	}
	request.Header = requestHeader(a.request)
	if !a.request.Deadline.IsZero() {
		remaining := max(0, a.request.Deadline.Sub(p.clock.Now()).Milliseconds())
		request.Header.Set(savorystep.HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	return request, nil
}

// acceptResponse checks an HTTP response and converts it to the outcome of the
// attempt.
func (p *Pool) acceptResponse(a *attempt, response *http.Response) outcome {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(savorystep.HeaderShed) == "1" {
		// The connection can only be reused after the short body was read.
		_, _ = io.CopyN(io.Discard, response.Body, maxLoadPageBytes)
		_ = response.Body.Close()
		p.endAttempt(a, 0, verdictShed)
		failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Shed: true, Err: errShedByEndpoint}
		return outcome{err: savorystep.WrapError(savorystep.KindOverloaded, failure, "endpoint shed the request")}
	}
	a.responseDueSince.Store(0)
	if !hasFraming(response) {
		a.cancel()
		p.endAttempt(a, p.clock.Now().Sub(a.startedAt), verdictFailed)
		failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Err: errNoFraming}
		return outcome{err: savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "cannot verify that the response is complete")}
	}
	result := &savorystep.Response{
		Status: response.StatusCode, Header: responseHeader(response.Header), BodyLength: response.ContentLength,
		Endpoint: a.lease.info.ID, Region: a.lease.decision.Region, Attempts: 1,
	}
	body := &responseBody{pool: p, attempt: a, body: response.Body}
	if response.Body == http.NoBody {
		body.finish(verdictSuccess)
	}
	result.Body = body
	return outcome{response: result}
}

var errShedByEndpoint = errors.New("status 503 with " + savorystep.HeaderShed)

// hasFraming reports whether the end of a response's body can be distinguished
// from the end of its connection.
func hasFraming(response *http.Response) bool {
	if response.Body == http.NoBody || response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// beginResponse records that the attempt's connection returned a response. It returns
// false if the attempt was cancelled before that because its connection was silent.
func (p *Pool) beginResponse(a *attempt) bool {
	g := a.lease.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.isCancelledSilent {
		return false
	}
	a.hasResponse = true
	a.connSilent.Store(false)
	a.lease.endpoint.recordResponse(a.conn.Load(), p.base.now(), &p.limits)
	return true
}

// endAttempt ends an attempt: it records the verdict in the endpoint's health and
// releases the slot and the permits, once the endpoint runs the request no more. heldFor
// is how long the attempt used the endpoint. Only the first call has an effect.
func (p *Pool) endAttempt(a *attempt, heldFor time.Duration, v verdict) {
	a.endOnce.Do(func() {
		defer p.releaseLease(a, heldFor, v)
		a.stopCallerWatch()
		a.cancel()
		a.cancelCallerCtx()
		if p.recordVerdict(a, v) {
			p.recordEjection(a.lease.group, a.lease.info.ID)
		}
	})
}

// recordVerdict records the verdict on an attempt that has ended in the endpoint's health.
// It reports whether the endpoint was ejected.
func (p *Pool) recordVerdict(a *attempt, v verdict) bool {
	now := p.clock.Now()
	hasPeers := (v == verdictFailed || v == verdictNotListening) && p.hasPeers(now)
	g, e := a.lease.group, a.lease.endpoint
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(e.attempts, a)
	switch v {
	case verdictSuccess:
		e.health.RecordSuccess(now)
	case verdictShed:
		e.health.RecordShed(now)
	case verdictFailed:
		// The failure of a silent connection was recorded by endSilent.
		return !a.connSilent.Load() && g.recordFailure(e, now, hasPeers)
	case verdictNotListening:
		e.health.RecordNotListening()
		return g.recordFailure(e, now, hasPeers)
	case verdictNeutral:
	}
	return false
}

// releaseLease releases the lease of an attempt that has ended. An endpoint may run a
// request that was given up until it notices the close of its connection; meanwhile the
// request counts, at most for Limits.CloseTimeout. The slot of one on a silent connection
// is released at once: whether the endpoint runs it is unknown for longer than that.
func (p *Pool) releaseLease(a *attempt, heldFor time.Duration, v verdict) {
	if a.connSilent.Load() {
		heldFor = 0
		a.lease.releaseSlot(heldFor)
	}
	c := a.mayRunOn(v)
	if c == nil {
		a.lease.release(heldFor)
		return
	}
	p.background.Go(func() {
		defer a.lease.release(heldFor)
		timer := time.NewTimer(p.limits.CloseTimeout)
		defer timer.Stop()
		select {
		case <-c.ended:
		case <-timer.C:
		}
	})
}
