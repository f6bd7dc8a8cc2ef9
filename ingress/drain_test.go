package ingress_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A drainingReader is a request body during whose arrival the shutdown of the instance
// starts.
type drainingReader struct {
	io.Reader
	drain func()
}

func (r drainingReader) Read(p []byte) (int, error) {
	r.drain()
	return r.Reader.Read(p)
}

// TestDrainRejectsLateRequests guards against requests that are sent to an endpoint
// during a shutdown and cut off at its end. Those whose timeout of 300 ms ends after it
// must get a 503 without an attempt, whichever step they have reached.
func TestDrainRejectsLateRequests(t *testing.T) {
	const soon, late = 100 * time.Millisecond, time.Hour
	cases := []struct {
		name     string
		path     string
		outcomes []string
		// startsAt is what a request has reached when the shutdown starts.
		startsAt string
		endsIn   time.Duration
		status   int
		attempts int
	}{
		{name: "idempotent ends before", path: "/safe/", outcomes: []string{"ok"}, startsAt: "head", endsIn: late, status: 200, attempts: 1},
		{name: "idempotent may end after", path: "/safe/", outcomes: []string{"ok"}, startsAt: "head", endsIn: soon, status: 503},
		{name: "once ends before", path: "/once/", outcomes: []string{"ok"}, startsAt: "head", endsIn: late, status: 200, attempts: 1},
		{name: "once may end after", path: "/once/", outcomes: []string{"ok"}, startsAt: "head", endsIn: soon, status: 503},
		{name: "body, ends before", path: "/upload/", outcomes: []string{"ok"}, startsAt: "body", endsIn: late, status: 200, attempts: 1},
		{name: "body, may end after", path: "/upload/", outcomes: []string{"ok"}, startsAt: "body", endsIn: soon, status: 503},
		{name: "attempt in flight", path: "/once/", outcomes: []string{"ok"}, startsAt: "attempt", endsIn: soon, status: 200, attempts: 1},
		{name: "retry ends before", path: "/once/", outcomes: []string{"shed", "ok"}, startsAt: "attempt", endsIn: late, status: 200, attempts: 2},
		{name: "retry of a refusal", path: "/once/", outcomes: []string{"shed", "ok"}, startsAt: "attempt", endsIn: soon, status: 503, attempts: 1},
		{name: "retry of an unsent request", path: "/once/", outcomes: []string{"unsent", "ok"}, startsAt: "attempt", endsIn: soon, status: 503, attempts: 1},
		{name: "retry of a broken response", path: "/safe/", outcomes: []string{"broken", "ok"}, startsAt: "attempt", endsIn: soon, status: 502, attempts: 1},
		{name: "retry of a failure", path: "/safe/", outcomes: []string{"failed", "ok"}, startsAt: "attempt", endsIn: soon, status: 500, attempts: 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			proxy, transport, _ := newTestProxy(t, test.outcomes...)
			drain := func() { proxy.Drain(time.Now().Add(test.endsIn)) }
			var body io.Reader = strings.NewReader("body")
			switch test.startsAt {
			case "head":
				drain()
			case "body":
				body = drainingReader{Reader: body, drain: drain}
			case "attempt":
				transport.onExchange = drain
			}
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h"+test.path+"x", body)
			r.RequestURI = test.path + "x"
			r.Header.Set("Attempt", "1")
			recorder := httptest.NewRecorder()
			proxy.ServeHTTP(recorder, r)
			if recorder.Code != test.status || len(transport.requests()) != test.attempts {
				t.Errorf("status %d after %d attempts, want status %d after %d attempts", recorder.Code, len(transport.requests()), test.status, test.attempts)
			}
			if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
				t.Error("status 503 without Retry-After header")
			}
		})
	}
}

// TestDrainClosesBusyConnections guards against callers that send their next request on
// a connection that a shutdown is about to close, because the response to a request that
// was in flight when the shutdown started did not announce it.
func TestDrainClosesBusyConnections(t *testing.T) {
	for _, outcome := range []string{"ok", "broken", "shed"} {
		t.Run(outcome, func(t *testing.T) {
			proxy, transport, _ := newTestProxy(t, outcome)
			transport.onExchange = func() { proxy.Drain(time.Now().Add(time.Hour)) }
			_, address := startServer(t, proxy)
			c, reader := dial(t, address)
			if response := roundTrip(t, c, reader, "/once/x"); !response.closes {
				t.Errorf("response with status %d has no Connection: close", response.status)
			}
		})
	}
}
