package ingress

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
	"savorystep/http1"
)

const (
	// defaultTimeout is the timeout of a request whose caller states no deadline
	// and whose route has no timeout.
	defaultTimeout = 30 * time.Second
	// bodyMemoryDivisor divides the memory limit to get the budget for all request
	// bodies. Responses have a budget of the same size, and the runtime needs the
	// rest.
	bodyMemoryDivisor = 4
	// defaultBodyBudgetBytes is the budget for request bodies if there is no memory
	// limit.
	defaultBodyBudgetBytes = 64 << 20
	// startupWait bounds how long a request waits for the instance to become ready
	// after its start. The catalog arrives from a peer within 0.1 to 0.4 s, while
	// a caller that gets a 503 retries only after 0.2 to 0.6 s.
	startupWait = 400 * time.Millisecond
	// startupPollInterval is the interval of the readiness checks while a request
	// waits.
	startupPollInterval = 10 * time.Millisecond
	// defaultResponseWriteTimeout is as long as the longest deadline of callers, so
	// that a late response is still delivered. The timeout frees the memory of
	// responses that callers do not read.
	defaultResponseWriteTimeout = 30 * time.Second
)

// A Proxy is the HTTP handler for the requests of callers.
type Proxy struct {
	config     ProxyConfig
	forwarder  Forwarder
	bodyBudget *http1.MemoryBudget
	requestLog *requestLog
	metrics    *metrics
	drain      *drainState
	inFlight   atomic.Int64
}

// NewProxy returns a proxy that serves requests.
func NewProxy(config ProxyConfig) *Proxy {
	if config.ResponseWriteTimeout <= 0 {
		config.ResponseWriteTimeout = defaultResponseWriteTimeout
	}
	m := newMetrics(config.Registerer)
	drain := &drainState{}
	return &Proxy{config: config, drain: drain, forwarder: newForwarder(config, drain, m), bodyBudget: http1.NewMemoryBudget(bodyBudgetBytes(config.MemoryLimitBytes)), requestLog: newRequestLog(), metrics: m}
}

// bodyBudgetBytes returns the budget for all request bodies under a memory limit.
// A limit of zero means none.
func bodyBudgetBytes(memoryLimit int64) int64 {
	if memoryLimit < bodyMemoryDivisor {
		return defaultBodyBudgetBytes
	}
	return memoryLimit / bodyMemoryDivisor
}

// Drain makes the proxy close connections after their next response, so that
// callers connect to another instance. Requests are still served if they end before
// endsAt, when their connections are closed.
func (p *Proxy) Drain(endsAt time.Time) {
	p.drain.endsAt.Store(&endsAt)
	p.drain.stage.Store(stageDraining)
}

// RejectRequests makes the proxy respond to new requests with 503.
func (p *Proxy) RejectRequests() {
	p.drain.stage.Store(stageRejecting)
}

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int64 {
	return p.inFlight.Load()
}

// ServeHTTP forwards a request to an endpoint and writes the response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	receivedAt := p.config.Clock.Now()
	var pr *proxiedRequest
	isAnswerBegun := false
	defer func() {
		if cause := recover(); cause != nil {
			if pr != nil {
				pr.setFailedResponse(nil)
			}
			p.endPanic(w, r, cause, requestOutcome{receivedAt: receivedAt, proxied: pr}, isAnswerBegun)
		}
	}()
	reservation := p.bodyBudget.NewReservation()
	defer reservation.Release()
	var reply *localReply
	if pr, reply = p.accept(receivedAt, w, r, reservation); reply == nil {
		var response *http1.Response
		if response, reply = p.forwarder.forward(r.Context(), pr); reply == nil {
			defer response.Release()
			isAnswerBegun = true
			err := p.writeResponse(w, r, response)
			p.recordRequest(r, requestOutcome{receivedAt: receivedAt, proxied: pr, status: response.Status, text: "answered", writeErr: err})
			return
		}
	}
	if id := r.Header.Get(p.config.HeaderNames.AttemptID); id != "" {
		w.Header()[p.config.HeaderNames.AttemptID] = []string{id}
	}
	p.closeIfDraining(w)
	isAnswerBegun = true
	// A caller whose connection seems closed may have closed only its sending
	// side. Without a reply, the server would send it an empty 200.
	outcome := requestOutcome{receivedAt: receivedAt, proxied: pr, status: reply.status, text: reply.reason, writeErr: reply.write(w)}
	if r.Context().Err() != nil && reply.status != http.StatusRequestTimeout {
		outcome.status, outcome.text = 0, "the caller left"
	}
	p.recordRequest(r, outcome)
}

// endPanic logs and counts a panic of the handler, and ends its request. If the answer has
// not begun, the caller gets a reply, which doesn't say whether the request has run;
// otherwise the server closes the connection.
func (p *Proxy) endPanic(w http.ResponseWriter, r *http.Request, cause any, outcome requestOutcome, isAnswerBegun bool) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	p.metrics.panics.Inc()
	id := r.Header.Get(p.config.HeaderNames.AttemptID)
	log.Errorf("request id=%s host=%s target=%s panicked: %v\n%s", id, r.Host, r.RequestURI, cause, debug.Stack())
	if isAnswerBegun {
		panic(http.ErrAbortHandler)
	}
	if id != "" {
		w.Header()[p.config.HeaderNames.AttemptID] = []string{id}
	}
	w.Header().Set("Connection", "close")
	reply := &localReply{status: http.StatusInternalServerError, reason: "internal error"}
	outcome.status, outcome.text, outcome.writeErr = reply.status, reply.reason, reply.write(w)
	p.recordRequest(r, outcome)
}

// accept validates a request, matches its route and reads its body into
// reservation. It returns a reply if the request is rejected.
func (p *Proxy) accept(receivedAt time.Time, w http.ResponseWriter, r *http.Request, reservation *http1.Reservation) (*proxiedRequest, *localReply) {
	if p.drain.stage.Load() == stageRejecting {
		return nil, unavailable(reasonStopping)
	}
	if !p.awaitReady(r.Context(), receivedAt) {
		return nil, unavailable("the instance is not ready")
	}
	routing := p.config.Router.Routing()
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &localReply{status: http.StatusBadRequest, reason: "the request target is not a path"}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := routing.Match(r.Host, path)
	if route == nil {
		return nil, &localReply{status: http.StatusNotFound, reason: "no route leads there"}
	}
	if limit := routing.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, &localReply{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too large"}
	}
	deadline := p.requestDeadline(receivedAt, r, route)
	if !p.drain.canFinish(deadline) {
		return nil, unavailable(reasonStopping)
	}
	body, reply := readBody(w, r, bodyLimit{maxBytes: routing.Limits.BodyBytes, deadline: deadline}, reservation)
	if reply != nil {
		return nil, reply
	}
	// The body may have taken seconds to arrive.
	routing, route = p.config.Router.matchAgain(routing, route, r.Host, path)
	pr := p.newProxiedRequest(receivedAt, deadline, r, route, body)
	pr.routing = routing
	return pr, nil
}

// awaitReady waits until the instance is ready, at most until startupWait after
// the request was received. It reports whether the instance is ready.
func (p *Proxy) awaitReady(ctx context.Context, receivedAt time.Time) bool {
	for !p.config.Router.IsReady() {
		if p.config.Clock.Now().Sub(receivedAt) >= startupWait || !savorystep.Sleep(ctx, startupPollInterval) {
			return false
		}
	}
	return true
}

// requestDeadline returns the caller's deadline or the end of the route's timeout,
// whichever is earlier.
func (p *Proxy) requestDeadline(receivedAt time.Time, r *http.Request, route *savorystep.Route) time.Time {
	timeout := defaultTimeout
	if stated, err := strconv.ParseInt(r.Header.Get(p.config.HeaderNames.Deadline), 10, 32); err == nil && stated > 0 {
		timeout = time.Duration(stated) * time.Millisecond
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return receivedAt.Add(timeout)
}

// newProxiedRequest returns the state for forwarding a request. It selects the
// service, and counts the request there.
func (p *Proxy) newProxiedRequest(receivedAt, deadline time.Time, r *http.Request, route *savorystep.Route, body []byte) *proxiedRequest {
	pr := &proxiedRequest{
		Request: http1.Request{
			Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: endToEndHeaders(r.Header), Body: body,
			HasBody: r.ContentLength != 0 || len(body) > 0, AttemptID: savorystep.RequestID(r.Header.Get(p.config.HeaderNames.AttemptID)),
		},
		route: route, receivedAt: receivedAt, deadline: deadline,
	}
	pr.timeBudget = pr.deadline.Sub(receivedAt)
	pr.fingerprint = fingerprint(&pr.Request)
	if object := r.Header.Get(p.config.HeaderNames.AffinityKey); object != "" && route.Sticky {
		pr.affinityKey = xxh3.HashString(object)
	} else {
		pr.affinityKey = xxh3.HashString(string(pr.AttemptID))
	}
	pr.service = p.config.Router.nextService(receivedAt, route)
	return pr
}

// headerBytes returns the approximate size of the request line and header on the
// wire.
func headerBytes(r *http.Request) int64 {
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + len(": \r\n"))
		}
	}
	return size
}

// writeResponse writes an endpoint's response, without hop-by-hop headers. It returns an
// error if the response could not be written.
func (p *Proxy) writeResponse(w http.ResponseWriter, r *http.Request, response *http1.Response) error {
	controller := http.NewResponseController(w)
	setDeadline(controller.SetWriteDeadline, p.config.Clock.Now().Add(p.config.ResponseWriteTimeout))
	defer setDeadline(controller.SetWriteDeadline, time.Time{})
	header := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the server from guessing a content type.
		header["Content-Type"] = nil
	}
	if r.Method == http.MethodHead {
		if length := response.Header.Get("Content-Length"); length != "" {
			header["Content-Length"] = []string{length}
		}
	} else if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	p.closeIfDraining(w)
	w.WriteHeader(response.Status)
	return writeBody(w, response.Body)
}

// writeBody writes a body and flushes the response. The error says whether the
// connection took all of it, except on writers that can't be flushed, such as those of
// tests.
func writeBody(w http.ResponseWriter, body []byte) error {
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, errors.ErrUnsupported) {
		return err
	}
	return nil
}

// closeIfDraining makes the server close the connection after the response that is
// about to be written, if a shutdown has started.
func (p *Proxy) closeIfDraining(w http.ResponseWriter) {
	if p.drain.stage.Load() != stageServing {
		w.Header().Set("Connection", "close")
	}
}

// A requestOutcome is how a request ended.
type requestOutcome struct {
	receivedAt time.Time
	// proxied is nil if accept rejected the request.
	proxied *proxiedRequest
	// status is 0 if the caller left.
	status int
	text   string
	// writeErr is the error of writing the response, nil if the connection took it.
	writeErr error
}

// recordRequest logs the outcome of a request and updates the metrics.
func (p *Proxy) recordRequest(r *http.Request, outcome requestOutcome) {
	now := p.config.Clock.Now()
	duration := now.Sub(outcome.receivedAt)
	p.metrics.observeRequest(outcome.proxied, outcome.status, duration)
	entry := logEntry{requestOutcome: outcome, id: r.Header.Get(p.config.HeaderNames.AttemptID), request: r, duration: duration}
	if closing := http1.ClosingOf(r.Context()); closing != nil {
		p.metrics.requestsOnClosedConns.WithLabelValues(string(closing.Cause)).Inc()
		entry.closing, entry.closedFor = closing, now.Sub(closing.At)
	}
	if outcome.writeErr != nil {
		p.metrics.countUndelivered(outcome.writeErr)
	}
	p.requestLog.write(now, entry)
}
