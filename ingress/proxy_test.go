package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// TestOutcomes guards against a request that runs twice, a refusal that is not
// true, an answer that is not an endpoint's, and repeats beyond the attempts of
// the route.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		outcomes []string
		status   int
		sends    int
	}{
		{name: "download broken goes elsewhere", path: "/download/", outcomes: []string{"broken", "ok"}, status: 200, sends: 2},
		{name: "download broken twice ends", path: "/download/", outcomes: []string{"broken"}, status: 502, sends: 2},
		{name: "once answered", path: "/once/", outcomes: []string{"ok"}, status: 200, sends: 1},
		{name: "once broken runs no second time", path: "/once/", outcomes: []string{"broken", "ok"}, status: 502, sends: 1},
		{name: "once encoded is not the answer", path: "/once/", outcomes: []string{"encoded", "ok"}, status: 502, sends: 1},
		{name: "once failed is passed on", path: "/once/", outcomes: []string{"failed", "ok"}, status: 500, sends: 1},
		{name: "once full may have run", path: "/once/", outcomes: []string{"full", "ok"}, status: 502, sends: 1},
		{name: "once gone goes elsewhere", path: "/once/", outcomes: []string{"gone", "ok"}, status: 200, sends: 2},
		{name: "once refused goes elsewhere", path: "/once/", outcomes: []string{"refused", "ok"}, status: 200, sends: 2},
		{name: "once shed goes elsewhere", path: "/once/", outcomes: []string{"shed", "ok"}, status: 200, sends: 2},
		{name: "once silent is unknown", path: "/once/", outcomes: []string{"silent"}, status: 504, sends: 1},
		{name: "once unsent goes elsewhere", path: "/once/", outcomes: []string{"unsent", "ok"}, status: 200, sends: 2},
		{name: "once unsigned is not the answer", path: "/once/", outcomes: []string{"unsigned"}, status: 502, sends: 1},
		{name: "safe broken goes elsewhere", path: "/safe/", outcomes: []string{"broken", "ok"}, status: 200, sends: 2},
		{name: "safe broken twice ends", path: "/safe/", outcomes: []string{"broken"}, status: 502, sends: 2},
		{name: "safe failed goes elsewhere", path: "/safe/", outcomes: []string{"failed", "ok"}, status: 200, sends: 2},
		{name: "safe failed twice is passed on", path: "/safe/", outcomes: []string{"failed"}, status: 500, sends: 2},
		{name: "safe shed everywhere did not run", path: "/safe/", outcomes: []string{"shed"}, status: 503, sends: 3},
		{name: "safe shed after broken may have run", path: "/safe/", outcomes: []string{"broken", "shed"}, status: 502, sends: 3},
		{name: "upload broken runs no second time", path: "/upload/", outcomes: []string{"broken", "ok"}, status: 502, sends: 1},
		{name: "upload shed everywhere did not run", path: "/upload/", outcomes: []string{"shed"}, status: 503, sends: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			front, sender, _ := newFront(t, c.outcomes...)
			recorder := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+c.path+"x", http.NoBody)
			r.RequestURI = c.path + "x"
			r.Header.Set("Attempt", "1")
			front.ServeHTTP(recorder, r)
			if recorder.Code != c.status || len(sender.requests()) != c.sends {
				t.Errorf("status %d after %d sends, want %d after %d", recorder.Code, len(sender.requests()), c.status, c.sends)
			}
			if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
			if recorder.Code >= 502 && recorder.Header().Get("Signature") != "" {
				t.Error("an answer of the instance's own bears a signature")
			}
		})
	}
}

// TestForwardsUnchanged guards against a request that reaches the endpoint with
// another target, body or header.
func TestForwardsUnchanged(t *testing.T) {
	front, sender, _ := newFront(t, "ok")
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/once/", strings.NewReader("the body"))
	r.RequestURI = "/once/a%2Fb/../c?x=%20&y"
	for name, value := range map[string]string{
		"Attempt": "7", "Affinity": "o", "Deadline": "200", "Connection": "X-Hop", "X-Hop": "1", "X-End": "2", "Keep-Alive": "timeout=5",
	} {
		r.Header.Set(name, value)
	}
	front.ServeHTTP(httptest.NewRecorder(), r)
	got := sender.requests()[0]
	if got.target != r.RequestURI || got.body != "the body" {
		t.Errorf("target %q, body %q", got.target, got.body)
	}
	for name, want := range map[string]string{
		"Attempt": "7", "Affinity": "o", "X-End": "2", "X-Hop": "", "Connection": "", "Keep-Alive": "", "Expected": string(got.endpoint),
	} {
		if value := got.header.Get(name); value != want {
			t.Errorf("header %s is %q, want %q", name, value, want)
		}
	}
	if left := got.header.Get("Deadline"); left != "200" && left != "199" && left != "198" {
		t.Errorf("time left %s, want about 200 ms", left)
	}
}

// TestRefusesBadInput guards against bad input that reaches an endpoint or gets
// no clear answer.
func TestRefusesBadInput(t *testing.T) {
	cases := []struct {
		name   string
		change func(*http.Request)
		status int
	}{
		{name: "body too large", status: 413, change: func(r *http.Request) { r.ContentLength = 2000 }},
		{name: "header too large", status: 431, change: func(r *http.Request) { r.Header.Set("X", strings.Repeat("x", 5000)) }},
		{name: "no route", status: 404, change: func(r *http.Request) { r.RequestURI = "/other/" }},
		{name: "no such host", status: 404, change: func(r *http.Request) { r.Host = "other" }},
		{name: "target with scheme", status: 400, change: func(r *http.Request) { r.RequestURI = "http://h/once/" }},
		{name: "body of unknown length breaks off", status: 400, change: func(r *http.Request) {
			r.ContentLength, r.Body = -1, io.NopCloser(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)))
		}},
		{name: "body of unknown length too large", status: 413, change: func(r *http.Request) {
			r.ContentLength = -1
			r.Body = http.NoBody
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			front, sender, _ := newFront(t, "ok")
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/once/", strings.NewReader("x"))
			r.RequestURI = "/once/"
			c.change(r)
			recorder := httptest.NewRecorder()
			front.ServeHTTP(recorder, r)
			if recorder.Code != c.status || len(sender.requests()) != 0 {
				t.Errorf("status %d after %d sends, want %d", recorder.Code, len(sender.requests()), c.status)
			}
		})
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// TestCallerLeaves guards against work for a caller who is gone: no endpoint
// gets the request afterwards.
func TestCallerLeaves(t *testing.T) {
	front, sender, _ := newFront(t, "silent", "ok")
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/safe/", http.NoBody)
	r.RequestURI = "/safe/"
	front.ServeHTTP(httptest.NewRecorder(), r)
	if sends := len(sender.requests()); sends != 1 {
		t.Errorf("%d sends, want 1", sends)
	}
}

// TestTimeout guards against a request that is held past its route's timeout.
func TestTimeout(t *testing.T) {
	front, _, _ := newFront(t, "silent")
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/", http.NoBody)
	r.RequestURI = "/safe/"
	r.Header.Set("Deadline", "30000")
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		front.ServeHTTP(recorder, r)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the request is held beyond 300 ms")
	}
	if recorder.Code != http.StatusGatewayTimeout {
		t.Errorf("status %d", recorder.Code)
	}
}

// TestNotReady guards against a 404 by an instance that knows no configuration
// yet, which callers would not repeat.
func TestNotReady(t *testing.T) {
	front, _, steering := newFront(t, "ok")
	if !steering.IsReady() {
		t.Fatal("not ready with routing and list")
	}
	front.RejectRequests()
	recorder := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/nowhere/", http.NoBody)
	r.RequestURI = "/nowhere/"
	front.ServeHTTP(recorder, r)
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Connection") != "close" {
		t.Errorf("status %d, header %v", recorder.Code, recorder.Header())
	}
}

// TestStartHoldsRequests guards against callers who are refused by an instance
// that has the catalog a moment later: they would return after half a second.
func TestStartHoldsRequests(t *testing.T) {
	_, sender, ready := newFront(t, "ok")
	steering := ingress.NewRouter(endpoint.Config{Self: "self"})
	front := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Quarantine: ingress.NewQuarantine(&fakeFacts{}),
		Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: sender, Router: steering,
	})
	request := func() int {
		recorder := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/x", http.NoBody)
		r.RequestURI = "/safe/x"
		r.Header.Set("Attempt", "1")
		r.Header.Set("Deadline", "60000")
		front.ServeHTTP(recorder, r)
		return recorder.Code
	}
	if status := request(); status != http.StatusServiceUnavailable || len(sender.requests()) != 0 {
		t.Errorf("status %d after %d sends by an instance that never gets the catalog", status, len(sender.requests()))
	}
	held := make(chan int, 1)
	go func() { held <- request() }()
	for front.InFlight() == 0 {
		select {
		case status := <-held:
			t.Fatalf("status %d at once", status)
		case <-time.After(time.Millisecond):
		}
	}
	steering.SetRouting(ready.Routing())
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: steering, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	watcher.ApplyList(time.Now(), savorystep.EndpointChanges{Version: 1, Full: true, Endpoints: []savorystep.Endpoint{
		{ID: "a", Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: "z"}},
	}})
	if status := <-held; status != http.StatusOK {
		t.Errorf("status %d for a request that came while the instance started", status)
	}
}

// TestRoutingNeverGoesBack guards against an older configuration that arrives
// late and replaces a newer one.
func TestRoutingNeverGoesBack(t *testing.T) {
	_, _, steering := newFront(t, "ok")
	newer := savorystep.NewRouting(9, nil, nil, savorystep.ClientLimits{})
	if !steering.SetRouting(newer) || steering.SetRouting(savorystep.NewRouting(8, nil, nil, savorystep.ClientLimits{})) {
		t.Error("an older routing was put in force")
	}
	if steering.Routing() != newer {
		t.Errorf("revision %d in force", steering.Routing().Revision)
	}
}
