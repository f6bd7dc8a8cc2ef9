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
	// defaultDeadline bounds a request whose caller states no deadline and
	// whose route has no timeout.
	defaultDeadline = 30 * time.Second
	// bodyShare is the part of the memory limit that all bodies of requests may
	// use together. Answers use as much, the runtime needs the rest.
	bodyShare = 4
	// defaultBodies bounds them while the settings state no memory limit.
	defaultBodies = 64 << 20
	// startHold is how long a request waits for an instance that starts. The
	// catalog comes from a peer within 0.1 to 0.4 s, while a refused caller comes
	// back after 0.2 to 0.6 s.
	startHold = 400 * time.Millisecond
	// startPoll is the time between two looks whether the instance is ready.
	startPoll = 10 * time.Millisecond
	// defaultAnswerWait is as long as the longest deadline of callers, so that an
	// answer that is late is still delivered. After it, the memory that the answer
	// holds serves others.
	defaultAnswerWait = 30 * time.Second
)

// A Proxy takes the requests of callers.
type Proxy struct {
	config    ProxyConfig
	forwarder Forwarder
	bodies    *http1.MemoryBudget
	log       *requestLog
	metrics   *metrics
	stage     atomic.Int32
	inFlight  atomic.Int64
}

// The stages of a front.
const (
	stageOpen int32 = iota
	// stageLeaving means that callers are told to connect elsewhere.
	stageLeaving
	// stageClosed means that requests are refused.
	stageClosed
)

// NewProxy returns a front.
func NewProxy(config ProxyConfig) *Proxy {
	if config.ResponseWriteTimeout <= 0 {
		config.ResponseWriteTimeout = defaultAnswerWait
	}
	m := newMetrics(config.Registerer)
	return &Proxy{config: config, forwarder: Forwarder{attempts: newAttempts(), config: config, metrics: m}, bodies: http1.NewMemoryBudget(bodyBytes(config.MemoryLimitBytes)), log: newRequestLog(), metrics: m}
}

// bodyBytes returns the bytes for all bodies under a memory limit, zero for
// none.
func bodyBytes(memory int64) int64 {
	if memory < bodyShare {
		return defaultBodies
	}
	return memory / bodyShare
}

// Drain tells callers to connect elsewhere.
func (f *Proxy) Drain() {
	f.stage.Store(stageLeaving)
}

// RejectRequests refuses further requests.
func (f *Proxy) RejectRequests() {
	f.stage.Store(stageClosed)
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
	if f.stage.Load() != stageOpen {
		w.Header().Set("Connection", "close")
	}
	part := f.bodies.NewReservation()
	defer part.Release()
	t, refused := f.accept(began, w, r, part)
	if refused == nil {
		var response *http1.Response
		if response, refused = f.forwarder.run(r.Context(), t); refused == nil {
			defer response.Release()
			f.respond(w, r, response)
			f.report(r, began, t, response.Status, "answered")
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
		f.report(r, began, t, 0, "the caller left")
		return
	}
	f.report(r, began, t, refused.status, refused.reason)
}

// accept checks a request and reads its body.
func (f *Proxy) accept(began time.Time, w http.ResponseWriter, r *http.Request, part *http1.Reservation) (*task, *refusal) {
	if f.stage.Load() == stageClosed {
		return nil, refuse("the instance stops")
	}
	if !f.awaitReady(r.Context(), began) {
		return nil, refuse("the instance is not ready")
	}
	routing := f.config.Router.Routing()
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the request target is not a path"}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := routing.Match(r.Host, path)
	if route == nil {
		return nil, &refusal{status: http.StatusNotFound, reason: "no route leads there"}
	}
	if limit := routing.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too large"}
	}
	deadline := f.deadline(began, r, route)
	body, refused := readBody(w, r, bodyLimit{bytes: routing.Limits.BodyBytes, until: deadline}, part)
	if refused != nil {
		return nil, refused
	}
	t := f.newTask(began, deadline, r, route, body)
	t.revision = routing.Revision
	return t, nil
}

// awaitReady waits for the catalog while the instance starts. It returns false
// if the instance is still not ready when the wait is over.
func (f *Proxy) awaitReady(ctx context.Context, began time.Time) bool {
	for !f.config.Router.IsReady() {
		if f.config.Clock.Now().Sub(began) >= startHold || !savorystep.Sleep(ctx, startPoll) {
			return false
		}
	}
	return true
}

// deadline returns when the caller leaves or the route's timeout ends, whichever
// comes first.
func (f *Proxy) deadline(began time.Time, r *http.Request, route *savorystep.Route) time.Time {
	left := defaultDeadline
	if told, err := strconv.ParseInt(r.Header.Get(f.config.HeaderNames.Deadline), 10, 32); err == nil && told > 0 {
		left = time.Duration(told) * time.Millisecond
	}
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	return began.Add(left)
}

// newTask returns the task of a request.
func (f *Proxy) newTask(began, deadline time.Time, r *http.Request, route *savorystep.Route, body []byte) *task {
	t := &task{
		Request: http1.Request{
			Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: endToEnd(r.Header), Body: body,
			HasBody: r.ContentLength != 0 || len(body) > 0, AttemptID: savorystep.RequestID(r.Header.Get(f.config.HeaderNames.AttemptID)),
		},
		route: route, began: began, deadline: deadline,
	}
	t.left = t.deadline.Sub(began)
	t.fingerprint = fingerprint(&t.Request)
	if object := r.Header.Get(f.config.HeaderNames.AffinityKey); object != "" && route.Sticky {
		t.key = xxh3.HashString(object)
	} else {
		t.key = xxh3.HashString(string(t.AttemptID))
	}
	t.service = f.config.Router.service(began, route)
	return t
}

// headerSize returns the size of a header in bytes.
func headerSize(r *http.Request) int64 {
	size := int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + len(": \r\n"))
		}
	}
	return size
}

// respond returns an endpoint's answer unchanged.
func (f *Proxy) respond(w http.ResponseWriter, r *http.Request, response *http1.Response) {
	controller := http.NewResponseController(w)
	setDeadline(controller.SetWriteDeadline, f.config.Clock.Now().Add(f.config.ResponseWriteTimeout))
	defer setDeadline(controller.SetWriteDeadline, time.Time{})
	header := w.Header()
	for name, values := range endToEnd(response.Header) {
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

// report logs and counts how a request ended.
func (f *Proxy) report(r *http.Request, began time.Time, t *task, status int, outcome string) {
	now := f.config.Clock.Now()
	took := now.Sub(began)
	f.metrics.request(t, status, took)
	f.log.note(now, entry{id: r.Header.Get(f.config.HeaderNames.AttemptID), request: r, task: t, status: status, outcome: outcome, took: took})
}
