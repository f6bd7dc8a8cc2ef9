package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// TestRetries guards against running a request twice that may run only once,
// against a 503 for a request that may have run, against returning a response that
// is not the endpoint's, and against more runs than the route allows.
func TestRetries(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		outcomes []string
		status   int
		attempts int
	}{
		{name: "download broken is retried", path: "/download/", outcomes: []string{"broken", "ok"}, status: 200, attempts: 2},
		{name: "download broken twice fails", path: "/download/", outcomes: []string{"broken"}, status: 502, attempts: 2},
		{name: "once answered", path: "/once/", outcomes: []string{"ok"}, status: 200, attempts: 1},
		{name: "once broken is not retried", path: "/once/", outcomes: []string{"broken", "ok"}, status: 502, attempts: 1},
		{name: "once encoded is not returned", path: "/once/", outcomes: []string{"encoded", "ok"}, status: 502, attempts: 1},
		{name: "once failed is returned", path: "/once/", outcomes: []string{"failed", "ok"}, status: 500, attempts: 1},
		{name: "once over budget may have run", path: "/once/", outcomes: []string{"full", "ok"}, status: 502, attempts: 1},
		{name: "once gone is retried", path: "/once/", outcomes: []string{"gone", "ok"}, status: 200, attempts: 2},
		{name: "once gone and signed may have run", path: "/once/", outcomes: []string{"gone signed", "ok"}, status: 502, attempts: 1},
		{name: "once refused is retried", path: "/once/", outcomes: []string{"refused", "ok"}, status: 200, attempts: 2},
		{name: "once shed is retried", path: "/once/", outcomes: []string{"shed", "ok"}, status: 200, attempts: 2},
		{name: "once shed and signed may have run", path: "/once/", outcomes: []string{"shed signed", "ok"}, status: 502, attempts: 1},
		{name: "once silent may have run", path: "/once/", outcomes: []string{"silent"}, status: 504, attempts: 1},
		{name: "once unsent is retried", path: "/once/", outcomes: []string{"unsent", "ok"}, status: 200, attempts: 2},
		{name: "once unsigned is not returned", path: "/once/", outcomes: []string{"unsigned"}, status: 502, attempts: 1},
		{name: "safe broken is retried", path: "/safe/", outcomes: []string{"broken", "ok"}, status: 200, attempts: 2},
		{name: "safe broken twice fails", path: "/safe/", outcomes: []string{"broken"}, status: 502, attempts: 2},
		{name: "safe failed is retried", path: "/safe/", outcomes: []string{"failed", "ok"}, status: 200, attempts: 2},
		{name: "safe failed twice is returned", path: "/safe/", outcomes: []string{"failed"}, status: 500, attempts: 2},
		{name: "safe shed everywhere did not run", path: "/safe/", outcomes: []string{"shed"}, status: 503, attempts: 3},
		{name: "safe shed after broken may have run", path: "/safe/", outcomes: []string{"broken", "shed"}, status: 502, attempts: 3},
		{name: "upload broken is not retried", path: "/upload/", outcomes: []string{"broken", "ok"}, status: 502, attempts: 1},
		{name: "upload shed everywhere did not run", path: "/upload/", outcomes: []string{"shed"}, status: 503, attempts: 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			proxy, transport, _ := newTestProxy(t, test.outcomes...)
			recorder := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+test.path+"x", http.NoBody)
			r.RequestURI = test.path + "x"
			r.Header.Set("Attempt", "1")
			proxy.ServeHTTP(recorder, r)
			if recorder.Code != test.status || len(transport.requests()) != test.attempts {
				t.Errorf("status %d after %d attempts, want status %d after %d attempts", recorder.Code, len(transport.requests()), test.status, test.attempts)
			}
			if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
				t.Error("status 503 without Retry-After header")
			}
			if recorder.Code >= 502 && recorder.Header().Get("Signature") != "" {
				t.Errorf("local reply with status %d has a signature header", recorder.Code)
			}
		})
	}
}

// A stoppedClock always returns the same time.
type stoppedClock time.Time

func (c stoppedClock) Now() time.Time { return time.Time(c) }

// TestForwardsUnchanged guards against changing the target, body or end-to-end
// headers of a request, and against forwarding hop-by-hop headers.
func TestForwardsUnchanged(t *testing.T) {
	_, transport, router := newTestProxy(t, "ok")
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: stoppedClock(time.Now()), HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router),
		Transport: transport, Router: router,
	})
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/once/", strings.NewReader("the body"))
	r.RequestURI = "/once/a%2Fb/../c?x=%20&y"
	for name, value := range map[string]string{
		"Attempt": "7", "Affinity": "o", "Deadline": "200", "Connection": "X-Hop", "X-Hop": "1", "X-End": "2", "Keep-Alive": "timeout=5",
	} {
		r.Header.Set(name, value)
	}
	proxy.ServeHTTP(httptest.NewRecorder(), r)
	got := transport.requests()[0]
	if got.target != r.RequestURI || got.body != "the body" {
		t.Errorf("target %q, body %q, want %q, %q", got.target, got.body, r.RequestURI, "the body")
	}
	for name, want := range map[string]string{
		"Attempt": "7", "Affinity": "o", "X-End": "2", "X-Hop": "", "Connection": "", "Keep-Alive": "", "Expected": string(got.endpoint),
	} {
		if value := got.header.Get(name); value != want {
			t.Errorf("header %s is %q, want %q", name, value, want)
		}
	}
	if timeLeft := got.header.Get("Deadline"); timeLeft != "200" {
		t.Errorf("deadline header %q, want 200 ms", timeLeft)
	}
}

// TestRejectsInvalidRequests guards against forwarding invalid requests, and
// against rejecting them with the wrong status.
func TestRejectsInvalidRequests(t *testing.T) {
	cases := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{name: "body too large", status: 413, change: func(r *http.Request) { r.ContentLength = 2000 }},
		{name: "header too large", status: 431, change: func(r *http.Request) { r.Header.Set("X", strings.Repeat("x", 5000)) }},
		{name: "no route", status: 404, change: func(r *http.Request) { r.RequestURI = "/other/" }},
		{name: "unknown host", status: 404, change: func(r *http.Request) { r.Host = "other" }},
		{name: "target with scheme", status: 400, change: func(r *http.Request) { r.RequestURI = "http://h/once/" }},
		{name: "body of unknown length truncated", status: 400, change: func(r *http.Request) {
			r.ContentLength, r.Body = -1, io.NopCloser(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)))
		}},
		{name: "body of unknown length too large", status: 413, change: func(r *http.Request) {
			r.ContentLength = -1
			r.Body = http.NoBody
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			proxy, transport, _ := newTestProxy(t, "ok")
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/once/", strings.NewReader("x"))
			r.RequestURI = "/once/"
			test.change(r)
			recorder := httptest.NewRecorder()
			proxy.ServeHTTP(recorder, r)
			if recorder.Code != test.status || len(transport.requests()) != 0 {
				t.Errorf("status %d after %d attempts, want status %d without an attempt", recorder.Code, len(transport.requests()), test.status)
			}
		})
	}
}

// A readCloser is a reader with a Close method that does nothing.
type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// TestNoRetryAfterCallerDisconnects guards against retrying a request whose caller
// has disconnected.
func TestNoRetryAfterCallerDisconnects(t *testing.T) {
	proxy, transport, _ := newTestProxy(t, "silent", "ok")
	ctx, cancel := context.WithCancel(t.Context())
	transport.onExchange = cancel
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/safe/", http.NoBody)
	r.RequestURI = "/safe/"
	proxy.ServeHTTP(httptest.NewRecorder(), r)
	if attempts := len(transport.requests()); attempts != 1 {
		t.Errorf("%d attempts, want 1", attempts)
	}
}

// TestRouteTimeout guards against a request that takes longer than its route's
// timeout because its caller states a later deadline.
func TestRouteTimeout(t *testing.T) {
	proxy, _, _ := newTestProxy(t, "silent")
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/", http.NoBody)
	r.RequestURI = "/safe/"
	r.Header.Set("Deadline", "30000")
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		proxy.ServeHTTP(recorder, r)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("no response within 10 s, want 504 after the route timeout of 300 ms")
	}
	if recorder.Code != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", recorder.Code)
	}
}

// TestRejectBeforeRouting guards against a 404 from an instance that can't serve
// requests, because callers do not retry a 404. Such an instance must respond with
// 503 before it looks for a route.
func TestRejectBeforeRouting(t *testing.T) {
	proxy, _, router := newTestProxy(t, "ok")
	if !router.IsReady() {
		t.Fatal("router with routing and endpoint list is not ready")
	}
	proxy.RejectRequests()
	recorder := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/nowhere/", http.NoBody)
	r.RequestURI = "/nowhere/"
	proxy.ServeHTTP(recorder, r)
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Connection") != "close" {
		t.Errorf("status %d, header %v, want status 503 and Connection: close", recorder.Code, recorder.Header())
	}
}

// TestRequestsWaitForReadiness guards against a 503 from an instance that becomes
// ready a moment later, because the caller would retry only after about half a
// second. An instance that does not become ready must respond with 503.
func TestRequestsWaitForReadiness(t *testing.T) {
	synctest.Test(t, checkRequestsWaitForReadiness)
}

func checkRequestsWaitForReadiness(t *testing.T) {
	_, transport, readyRouter := newTestProxy(t, "ok")
	router := ingress.NewRouter(endpoint.Config{Self: "self"})
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router),
		Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: transport, Router: router,
	})
	request := func() int {
		recorder := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/x", http.NoBody)
		r.RequestURI = "/safe/x"
		r.Header.Set("Attempt", "1")
		r.Header.Set("Deadline", "60000")
		proxy.ServeHTTP(recorder, r)
		return recorder.Code
	}
	if status := request(); status != http.StatusServiceUnavailable || len(transport.requests()) != 0 {
		t.Errorf("status %d after %d attempts without a catalog, want status 503 without an attempt", status, len(transport.requests()))
	}
	statuses := make(chan int, 1)
	go func() { statuses <- request() }()
	for proxy.InFlight() == 0 {
		select {
		case status := <-statuses:
			t.Fatalf("status %d before the instance is ready", status)
		case <-time.After(time.Millisecond):
		}
	}
	router.SetRouting(readyRouter.Routing())
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	watcher.ApplyList(time.Now(), savorystep.EndpointChanges{Version: 1, Full: true, Endpoints: []savorystep.Endpoint{
		{ID: "a", Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: "z"}},
	}})
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("status %d for a request received before the instance was ready, want 200", status)
	}
}

// TestOlderRoutingIsIgnored guards against an older routing that arrives late and
// replaces a newer one.
func TestOlderRoutingIsIgnored(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	newer := savorystep.NewRouting(9, nil, nil, savorystep.ClientLimits{})
	if !router.SetRouting(newer) || router.SetRouting(savorystep.NewRouting(8, nil, nil, savorystep.ClientLimits{})) {
		t.Error("newer routing rejected or older routing accepted")
	}
	if router.Routing() != newer {
		t.Errorf("routing revision %d in force, want %d", router.Routing().Revision, newer.Revision)
	}
}
