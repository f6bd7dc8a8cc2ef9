package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// healthPath is the path of health checks in the tests.
const healthPath = "/health"

// A mortalEndpoint is an endpoint on a real socket that crashes when it runs a request
// for a path that contains "poison".
type mortalEndpoint struct {
	listener net.Listener
	// dying is what the endpoint sends before it crashes.
	dying string
	// survives is true if the endpoint closes the connection instead of crashing.
	survives bool
	// health is the header of its responses to health checks.
	health string
	runs   *atomic.Int64
}

// startMortalEndpoint starts an endpoint and returns its address.
func startMortalEndpoint(t *testing.T, e mortalEndpoint) savorystep.Address {
	t.Helper()
	var err error
	if e.listener, err = (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.listener.Close() })
	go func() {
		for {
			c, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return savorystep.Address(e.listener.Addr().String())
}

// serve serves one connection. A poisonous request ends it with a reset.
func (e *mortalEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == healthPath {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", e.health)
			continue
		}
		if !strings.Contains(r.URL.Path, "poison") {
			_, _ = reader.Discard(int(max(0, r.ContentLength)))
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		e.runs.Add(1)
		_, _ = fmt.Fprint(c, e.dying)
		// What was sent arrives before the reset.
		time.Sleep(5 * time.Millisecond)
		if !e.survives {
			_ = e.listener.Close()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
}

// newPool returns a pool whose connections are also opened on a busy machine.
func newPool() *http1.Pool {
	return http1.NewPool(http1.Config{DialTimeout: 20 * time.Second, HeaderNames: names})
}

// extendTimeouts gives the routes timeouts that no busy machine misses.
func extendTimeouts(router *ingress.Router) {
	current := router.Routing()
	routes := make([]*savorystep.Route, 0, len(current.Routes))
	for _, route := range current.Routes {
		extended := *route
		extended.Timeout = 20 * time.Second
		routes = append(routes, &extended)
	}
	router.SetRouting(savorystep.NewRouting(current.Revision+1, routes, current.Services, current.Limits))
}

// newMortalProxy returns a proxy with eight endpoints.
func newMortalProxy(t *testing.T, e mortalEndpoint) *ingress.Proxy {
	t.Helper()
	_, _, router := newTestProxy(t, "ok")
	extendTimeouts(router)
	router.WithTable(func(table *endpoint.Table) {
		for _, id := range []savorystep.EndpointID{"a", "b", "c", "d", "e", "f", "g", "h"} {
			table.Put(time.Now(), savorystep.Endpoint{
				ID: id, Service: "s", State: savorystep.StateLive, Slots: 50, StartedAtMillis: 1, ReportSequence: 2, WrittenVersion: 3,
				Address: startMortalEndpoint(t, e), Place: savorystep.Place{Zone: "z"},
			})
		}
	})
	facts := &fakeFacts{}
	return ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(facts, router), Leavings: ingress.NewLeavings(facts, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(facts, nil), RateLimits: ingress.NewRateLimits(facts, router),
		Transport: newPool(), Router: router,
	})
}

// post sends a request with a body through a proxy and returns the status.
func post(t *testing.T, proxy *ingress.Proxy, target, body string) int {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h"+target, strings.NewReader(body))
	r.RequestURI = target
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, r)
	return recorder.Code
}

// TestQuarantineAtEachStage guards against a request that is never quarantined because
// the endpoints which it crashes have sent a part of their response before.
func TestQuarantineAtEachStage(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
	cases := []struct{ name, dying string }{
		{name: "before the head", dying: ""},
		{name: "in the head", dying: head},
		{name: "in an interim response", dying: "HTTP/1.1 102 Processing\r\n\r\nHTTP"},
		{name: "in a body with a length", dying: head + "Content-Length: 10\r\n\r\nhalf"},
		{name: "in a chunked body", dying: head + "Transfer-Encoding: chunked\r\n\r\na\r\nhalf"},
		{name: "between chunks", dying: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{name: "in a body without a length", dying: head + "\r\nhalf"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			proxy := newMortalProxy(t, mortalEndpoint{dying: c.dying, runs: &runs})
			status := 0
			for range 8 {
				status = post(t, proxy, "/once/poison", "body")
			}
			if runs.Load() != 3 || status != http.StatusServiceUnavailable {
				t.Errorf("%d endpoints crashed, the last request got status %d, want 3 and 503", runs.Load(), status)
			}
			if status := post(t, proxy, "/once/other", "body"); status != http.StatusOK {
				t.Errorf("status %d for another request, want 200", status)
			}
		})
	}
}

// TestBrokenResponsesAreNoCrash guards against the quarantine of a request whose
// responses are cut off or garbled by endpoints that go on running.
func TestBrokenResponsesAreNoCrash(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSignature: s\r\n"
	for _, dying := range []string{"", head, head + "Content-Length: 10\r\n\r\nhalf", head + "\r\nhalf", "no response\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nno chunk\r\n"} {
		var runs atomic.Int64
		proxy := newMortalProxy(t, mortalEndpoint{dying: dying, survives: true, runs: &runs})
		for range 6 {
			if status := post(t, proxy, "/once/poison", "body"); status != http.StatusBadGateway {
				t.Errorf("after %q: status %d, want 502", dying, status)
			}
		}
		if runs.Load() != 6 {
			t.Errorf("after %q: %d runs, want 6", dying, runs.Load())
		}
	}
}

// A stoppingTransport simulates endpoints that end as planned while they run a request,
// and refuse connections afterwards.
type stoppingTransport struct {
	router *ingress.Router
	// announce tells the router that an endpoint stops.
	announce func(table *endpoint.Table, e savorystep.Endpoint)
	runs     int
}

func (t *stoppingTransport) Exchange(_ context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	t.runs++
	t.router.WithTable(func(table *endpoint.Table) { t.announce(table, e) })
	return nil, &http1.ExchangeError{Stage: http1.StageSent, ClosedByEndpoint: true, Cause: io.EOF}
}

// TestPlannedStopIsNoCrash guards against the quarantine of a request that runs on
// endpoints which a release replaces one after the other.
func TestPlannedStopIsNoCrash(t *testing.T) {
	tests := []struct {
		name     string
		announce func(table *endpoint.Table, e savorystep.Endpoint)
	}{
		{name: "said so in a response", announce: func(table *endpoint.Table, e savorystep.Endpoint) {
			table.ApplyLeaving(time.Now(), e.ID, e.StartedAtMillis)
		}},
		{name: "listed as leaving", announce: func(table *endpoint.Table, e savorystep.Endpoint) {
			e.State = savorystep.StateLeaving
			e.ReportSequence++
			e.WrittenVersion++
			table.Put(time.Now(), e)
		}},
		{name: "not listed any more", announce: func(table *endpoint.Table, e savorystep.Endpoint) {
			table.Remove(time.Now(), e.ID)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			transport := &stoppingTransport{announce: test.announce}
			proxies, routers := newHerdProxies(t, transport)
			transport.router = routers[0]
			for n := range 6 {
				if status := sendAttempt(t, proxies[0], strconv.Itoa(n)); status != http.StatusBadGateway {
					t.Errorf("request %d: status %d, want 502", n, status)
				}
			}
			if transport.runs != 6 {
				t.Errorf("%d runs, want 6", transport.runs)
			}
		})
	}
}

// TestCrashOfCancelledAttempt guards against a crash that is not counted because another
// request found first that the endpoint refuses connections, and against counting the
// attempts at a machine that is silent.
func TestCrashOfCancelledAttempt(t *testing.T) {
	address := startMortalEndpoint(t, mortalEndpoint{})
	tests := []struct {
		name  string
		found error
		want  bool
	}{
		{name: "refuses connections", found: syscall.ECONNREFUSED, want: true},
		{name: "is silent", found: syscall.ETIMEDOUT, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := &http1.ExchangeError{Stage: http1.StageSent, Cause: ingress.EndpointDownCause(test.found)}
			if got := ingress.Crashed(t.Context(), err, address); got != test.want {
				t.Errorf("crashed is %t after %v, want %t", got, err, test.want)
			}
		})
	}
}
