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

// maxTrips bounds how often a request is handed to a transport because the
// kept connection was closed before a byte was sent.
const maxTrips = 3

// deathDial bounds the check whether an endpoint that closed a connection
// still accepts new ones.
const deathDial = 500 * time.Millisecond

// errUnframed is the failure of an answer whose end cannot be told from a lost
// connection.
var errUnframed = errors.New("the answer has neither a length nor chunks")

// An outcome is the end of an attempt.
type outcome struct {
	response *savorystep.Response
	err      error
}

// send sends a request on a lease. A request that may run at most once is not
// cancelled after its first byte: with a key, send then waits for its answer
// even if ctx ends; without one, send returns and the attempt runs on in the
// background.
func (p *Pool) send(ctx context.Context, request *savorystep.Request, leased *lease, r route) (*savorystep.Response, error) {
	callerCtx, endCaller := withDeadline(ctx, request.Deadline)
	a := &attempt{
		lease: leased, request: request, route: r, began: p.clock.Now(),
		once: request.IdempotencyKey != "" || !request.Idempotent,
	}
	tripCtx, cancel := callerCtx, endCaller
	if a.once {
		tripCtx, cancel = context.WithTimeout(context.WithoutCancel(ctx), p.limits.BackgroundTimeout)
	}
	a.cancel = cancel
	a.stop = context.AfterFunc(callerCtx, a.leave)
	a.endCaller = endCaller
	p.enter(a)
	if !a.once || request.IdempotencyKey != "" {
		return p.run(tripCtx, callerCtx, a).unpack()
	}
	// The end of the attempt ends callerCtx too, so the wait has its own.
	waitCtx, endWait := withDeadline(ctx, request.Deadline)
	defer endWait()
	result := make(chan outcome, 1)
	p.background.Go(func() { result <- p.run(tripCtx, callerCtx, a) })
	select {
	case o := <-result:
		return o.unpack()
	case <-waitCtx.Done():
	}
	a.leave()
	if !a.state.Load().wasSent() {
		return (<-result).unpack()
	}
	p.background.Go(func() {
		if o := <-result; o.response != nil {
			_ = o.response.Body.Close()
		}
	})
	err := &AttemptError{Endpoint: leased.info.ID, Sent: true, Err: waitCtx.Err()}
	return nil, savorystep.WrapError(savorystep.KindDeadlineExceeded, err, "the request was sent and runs on")
}

// unpack returns the fields of the outcome.
func (o outcome) unpack() (*savorystep.Response, error) {
	return o.response, o.err
}

// withDeadline adds a deadline to a context unless it is zero.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// enter lists an attempt for the watch.
func (p *Pool) enter(a *attempt) {
	g := a.lease.group
	g.mu.Lock()
	defer g.mu.Unlock()
	a.lease.endpoint.attempts[a] = struct{}{}
}

// run hands a request to transports until one took it or it must not be tried
// again.
func (p *Pool) run(tripCtx, callerCtx context.Context, a *attempt) outcome {
	source := a.request.Body
	if source == nil || a.request.BodyLength == 0 {
		source = http.NoBody
	}
	body := newReplay(source, p.limits.MaxReplayBytes)
	fresh := a.route.fresh
	for trip := 1; ; trip++ {
		response, err := p.trip(tripCtx, callerCtx, a, body, fresh)
		if err == nil {
			return p.answer(a, response)
		}
		a.waiting.Store(0)
		s := a.state.Load()
		sent := s != nil && s.seal()
		stale := !sent && a.reused.Load() && s.gateError() == nil && !body.isOver()
		if stale && trip < maxTrips && errors.Join(tripCtx.Err(), callerCtx.Err()) == nil {
			fresh = true
			continue
		}
		if sent && body.sourceError() != nil && !a.silent.Load() {
			return outcome{err: p.giveUpUpload(a, body.sourceError())}
		}
		return outcome{err: p.giveUp(callerCtx, a, err, sent)}
	}
}

// trip hands a request to a transport once.
func (p *Pool) trip(tripCtx, callerCtx context.Context, a *attempt, body *replay, fresh bool) (*http.Response, error) {
	s := &sending{gate: func() error {
		if callerCtx.Err() != nil {
			return errLate
		}
		return a.lease.valid(p.clock.Now())
	}}
	a.state.Store(s)
	a.conn.Store(nil)
	a.reused.Store(false)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*conn)
		if !ok {
			return
		}
		a.reused.Store(info.Reused)
		c.activity.Store(p.base.now())
		c.user.Store(s)
		a.conn.Store(c)
	}}
	request, err := p.outgoing(httptrace.WithClientTrace(tripCtx, trace), a, body)
	if err != nil {
		return nil, err
	}
	a.sentAt.Store(p.base.now())
	a.waiting.Store(p.base.now())
	return a.lease.link.transport(fresh).RoundTrip(request)
}

// outgoing returns the HTTP request that goes to the endpoint.
func (p *Pool) outgoing(ctx context.Context, a *attempt, body *replay) (*http.Request, error) {
	reader, ok := body.open()
	if !ok {
		return nil, errStaleBody
	}
	path := a.request.Path
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	request, err := http.NewRequestWithContext(ctx, a.request.Method, "http://"+string(a.lease.info.Address)+path, nil)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "the path or method is not valid")
	}
	a.body.Store(reader)
	request.ContentLength = a.request.BodyLength
	request.Body = reader
	if a.request.BodyLength == 0 {
		request.Body = http.NoBody
	}
	request.Header = outgoingHeader(a.request)
	if !a.request.Deadline.IsZero() {
		left := max(0, a.request.Deadline.Sub(p.clock.Now()).Milliseconds())
		request.Header.Set(savorystep.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return request, nil
}

// answer turns an HTTP response into an answer.
func (p *Pool) answer(a *attempt, response *http.Response) outcome {
	a.answered.Store(true)
	p.proveConnection(a)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(savorystep.HeaderShed) == "1" {
		_, _ = io.CopyN(io.Discard, response.Body, maxPage)
		_ = response.Body.Close()
		p.end(a, 0, verdictShed)
		failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Shed: true, Err: errShedByEndpoint}
		return outcome{err: savorystep.WrapError(savorystep.KindOverloaded, failure, "the endpoint shed the request")}
	}
	a.waiting.Store(0)
	if !framed(response) {
		a.cancel()
		p.end(a, p.clock.Now().Sub(a.began), verdictFailed)
		failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Err: errUnframed}
		return outcome{err: savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "the answer cannot be checked")}
	}
	result := &savorystep.Response{
		Status: response.StatusCode, Header: incomingHeader(response.Header), BodyLength: response.ContentLength,
		Endpoint: a.lease.info.ID, Region: a.lease.decision.Region, Attempts: 1,
	}
	wrapped := &answerBody{pool: p, attempt: a, body: response.Body}
	if response.Body == http.NoBody {
		wrapped.finish(verdictGood)
	}
	result.Body = wrapped
	return outcome{response: result}
}

var errShedByEndpoint = errors.New("status 503 with " + savorystep.HeaderShed)

// framed reports whether the end of an answer's body can be told from the end
// of its connection.
func framed(response *http.Response) bool {
	if response.Body == http.NoBody || response.ContentLength >= 0 {
		return true
	}
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// proveConnection takes note that the attempt's connection answered.
func (p *Pool) proveConnection(a *attempt) {
	g := a.lease.group
	g.mu.Lock()
	defer g.mu.Unlock()
	a.lease.endpoint.prove(a.conn.Load(), p.base.now())
}

// end ends an attempt: it gives the slot and units back and tells the health.
// Only the first call counts.
func (p *Pool) end(a *attempt, held time.Duration, v verdict) {
	a.done.Do(func() {
		a.stop()
		a.cancel()
		a.endCaller()
		now := p.clock.Now()
		hasPeers := (v == verdictFailed || v == verdictGone) && p.hasPeers(now)
		g, e := a.lease.group, a.lease.endpoint
		g.mu.Lock()
		delete(e.attempts, a)
		ejected := false
		switch v {
		case verdictGood:
			e.health.RecordSuccess(now)
		case verdictShed:
			e.health.RecordShed(now)
		case verdictFailed:
			// The watch has already counted a silent connection.
			if !a.silent.Load() {
				ejected = g.fail(e, now, hasPeers)
			}
		case verdictGone:
			e.health.RecordNotListening()
			ejected = g.fail(e, now, hasPeers)
		case verdictNone:
		}
		g.mu.Unlock()
		if ejected {
			p.recordEject(g, a.lease.info.ID)
		}
		if a.silent.Load() {
			held = 0
		}
		a.lease.free(held)
	})
}
