package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
	"savorystep/http1"
)

const (
	// defaultTimeout bounds a request whose caller states no deadline and
	// whose route has no timeout.
	defaultTimeout = 30 * time.Second
	// bodyMemoryDivisor is the part of the memory limit that all bodies of requests may
	// use together. Answers use as much, the runtime needs the rest.
	bodyMemoryDivisor = 4
	// defaultBodyBudgetBytes bounds them while the settings state no memory limit.
	defaultBodyBudgetBytes = 64 << 20
	// startupWait is how long a request waits for an instance that starts. The
	// catalog comes from a peer within 0.1 to 0.4 s, while a refused caller comes
	// back after 0.2 to 0.6 s.
	startupWait = 400 * time.Millisecond
	// startupPollInterval is the time between two looks whether the instance is ready.
	startupPollInterval = 10 * time.Millisecond
	// defaultResponseWriteTimeout is as long as the longest deadline of callers, so that an
	// answer that is late is still delivered. After it, the memory that the answer
	// holds serves others.
	defaultResponseWriteTimeout = 30 * time.Second
)

// A Proxy takes the requests of callers.
type Proxy struct {
	config     ProxyConfig
	forwarder  Forwarder
	bodyBudget *http1.MemoryBudget
	requestLog *requestLog
	metrics    *metrics
	stage      atomic.Int32
	inFlight   atomic.Int64
}

// The stages of a front.
const (
	stageServing int32 = iota
	// stageDraining means that callers are told to connect elsewhere.
	stageDraining
	// stageRejecting means that requests are refused.
	stageRejecting
)

// NewProxy returns a front.
func NewProxy(config ProxyConfig) *Proxy {
	if config.ResponseWriteTimeout <= 0 {
		config.ResponseWriteTimeout = defaultResponseWriteTimeout
	}
	m := newMetrics(config.Registerer)
	return &Proxy{config: config, forwarder: Forwarder{attempts: newAttempts(), config: config, metrics: m}, bodyBudget: http1.NewMemoryBudget(bodyBudgetBytes(config.MemoryLimitBytes)), requestLog: newRequestLog(), metrics: m}
}

// bodyBudgetBytes returns the bytes for all bodies under a memory limit, zero for
// none.
func bodyBudgetBytes(memory int64) int64 {
	if memory < bodyMemoryDivisor {
		return defaultBodyBudgetBytes
	}
	return memory / bodyMemoryDivisor
}

// Drain tells callers to connect elsewhere.
func (f *Proxy) Drain() {
	f.stage.Store(stageDraining)
}

// RejectRequests refuses further requests.
func (f *Proxy) RejectRequests() {
	f.stage.Store(stageRejecting)
}

// InFlight returns how many requests are being served.
func (f *Proxy) InFlight() int64 {
	return f.inFlight.Load()
}

// ServeHTTP serves one request.
func (f *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	began := f.config.Clock.Now()
	if f.stage.Load() != stageServing {
		w.Header().Set("Connection", "close")
	}
	part := f.bodyBudget.NewReservation()
	defer part.Release()
	t, refused := f.accept(began, w, r, part)
	if refused == nil {
		var response *http1.Response
		if response, refused = f.forwarder.forward(r.Context(), t); refused == nil {
			defer response.Release()
			f.writeResponse(w, r, response)
			f.recordRequest(r, began, t, response.Status, "answered")
			return
		}
	}
	if id := r.Header.Get(f.config.HeaderNames.AttemptID); id != "" {
		w.Header()[f.config.HeaderNames.AttemptID] = []string{id}
	}
	// A caller that seems to have left may have closed its side only. Without an
	// answer, the server would tell it of an empty success.
	refused.write(w)
	if r.Context().Err() != nil && refused.status != http.StatusRequestTimeout {
		f.recordRequest(r, began, t, 0, "the caller left")
		return
	}
	f.recordRequest(r, began, t, refused.status, refused.reason)
}

// accept checks a request and reads its body.
func (f *Proxy) accept(began time.Time, w http.ResponseWriter, r *http.Request, part *http1.Reservation) (*proxiedRequest, *localReply) {
	if f.stage.Load() == stageRejecting {
		return nil, unavailable("the instance stops")
	}
	if !f.awaitReady(r.Context(), began) {
		return nil, unavailable("the instance is not ready")
	}
	routing := f.config.Router.Routing()
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
	deadline := f.requestDeadline(began, r, route)
	body, refused := readBody(w, r, bodyLimit{maxBytes: routing.Limits.BodyBytes, deadline: deadline}, part)
	if refused != nil {
		return nil, refused
	}
	t := f.newProxiedRequest(began, deadline, r, route, body)
	t.revision = routing.Revision
	return t, nil
}

// awaitReady waits for the catalog while the instance starts. It returns false
// if the instance is still not ready when the wait is over.
func (f *Proxy) awaitReady(ctx context.Context, began time.Time) bool {
	for !f.config.Router.IsReady() {
		if f.config.Clock.Now().Sub(began) >= startupWait || !savorystep.Sleep(ctx, startupPollInterval) {
			return false
		}
	}
	return true
}

// requestDeadline returns when the caller leaves or the route's timeout ends, whichever
// comes first.
func (f *Proxy) requestDeadline(began time.Time, r *http.Request, route *savorystep.Route) time.Time {
	left := defaultTimeout
	if told, err := strconv.ParseInt(r.Header.Get(f.config.HeaderNames.Deadline), 10, 32); err == nil && told > 0 {
		left = time.Duration(told) * time.Millisecond
	}
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	return began.Add(left)
}

// newProxiedRequest returns the task of a request.
func (f *Proxy) newProxiedRequest(began, deadline time.Time, r *http.Request, route *savorystep.Route, body []byte) *proxiedRequest {
	t := &proxiedRequest{
		Request: http1.Request{
			Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: endToEndHeaders(r.Header), Body: body,
			HasBody: r.ContentLength != 0 || len(body) > 0, AttemptID: savorystep.RequestID(r.Header.Get(f.config.HeaderNames.AttemptID)),
		},
		route: route, receivedAt: began, deadline: deadline,
	}
	t.timeBudget = t.deadline.Sub(began)
	t.fingerprint = fingerprint(&t.Request)
	if object := r.Header.Get(f.config.HeaderNames.AffinityKey); object != "" && route.Sticky {
		t.affinityKey = xxh3.HashString(object)
	} else {
		t.affinityKey = xxh3.HashString(string(t.AttemptID))
	}
	t.service = f.config.Router.nextService(began, route)
	return t
}

// headerBytes returns the size of a header in bytes.
func headerBytes(r *http.Request) int64 {
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + len(": \r\n"))
		}
	}
	return size
}

// writeResponse returns an endpoint's answer unchanged.
func (f *Proxy) writeResponse(w http.ResponseWriter, r *http.Request, response *http1.Response) {
	controller := http.NewResponseController(w)
	setDeadline(controller.SetWriteDeadline, f.config.Clock.Now().Add(f.config.ResponseWriteTimeout))
	defer setDeadline(controller.SetWriteDeadline, time.Time{})
	header := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// An empty list keeps the server from guessing a type.
		header["Content-Type"] = nil
	}
	if r.Method == http.MethodHead {
		if length := response.Header.Get("Content-Length"); length != "" {
			header["Content-Length"] = []string{length}
		}
	} else if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// recordRequest logs and counts how a request ended.
func (f *Proxy) recordRequest(r *http.Request, began time.Time, t *proxiedRequest, status int, outcome string) {
	now := f.config.Clock.Now()
	took := now.Sub(began)
	f.metrics.observeRequest(t, status, took)
	f.requestLog.write(now, logEntry{id: r.Header.Get(f.config.HeaderNames.AttemptID), request: r, proxied: t, status: status, outcome: outcome, duration: took})
}
