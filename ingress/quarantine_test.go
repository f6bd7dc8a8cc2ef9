package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// A crashingTransport simulates endpoints that crash when they run the request
// /safe/poison and refuse connections afterwards.
type crashingTransport struct {
	crashes int
	crashed map[savorystep.EndpointID]bool
}

func (t *crashingTransport) Exchange(_ context.Context, e savorystep.Endpoint, r *http1.Request) (*http1.Response, error) {
	if t.crashed[e.ID] {
		return nil, &http1.ExchangeError{Stage: http1.StageDial, Cause: errReset}
	}
	if r.Target == "/safe/poison" {
		t.crashes++
		t.crashed[e.ID] = true
		return nil, &http1.ExchangeError{Stage: http1.StageSent, ClosedByEndpoint: true, Cause: io.EOF}
	}
	return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
}

// newCrashingProxies returns the proxies of two instances with a crashingTransport.
// The instances exchange facts if shared is true.
func newCrashingProxies(t *testing.T, shared bool) ([]*ingress.Proxy, *crashingTransport) {
	t.Helper()
	transport := &crashingTransport{crashed: make(map[savorystep.EndpointID]bool)}
	facts := &fakeFacts{}
	var proxies []*ingress.Proxy
	for range 2 {
		if !shared {
			facts = &fakeFacts{}
		}
		_, _, router := newTestProxy(t, "ok")
		router.WithTable(func(table *endpoint.Table) {
			for _, id := range []savorystep.EndpointID{"a", "b", "c", "d", "e", "f", "g", "h"} {
				table.Put(time.Now(), savorystep.Endpoint{
					ID: id, Service: "s", State: savorystep.StateLive, Slots: 50, StartedAtMillis: 1, ReportSequence: 2, WrittenVersion: 3,
					Address: "127.0.0.1:1", Place: savorystep.Place{Zone: "z"},
				})
			}
		})
		proxies = append(proxies, ingress.NewProxy(ingress.ProxyConfig{
			Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(facts, router), Leavings: ingress.NewLeavings(facts, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(facts, nil), RateLimits: ingress.NewRateLimits(facts, router),
			Transport: transport, Router: router,
		}))
	}
	return proxies, transport
}

// sendRequest sends a GET request through a proxy and returns the status.
func sendRequest(t *testing.T, proxy *ingress.Proxy, target string) int {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+target, http.NoBody)
	r.RequestURI = target
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, r)
	return recorder.Code
}

// TestQuarantine guards against a request that crashes one endpoint after the other
// because its caller retries it through different instances.
func TestQuarantine(t *testing.T) {
	cases := []struct {
		name                   string
		shared                 bool
		maxCrashes, minCrashes int
	}{
		{name: "facts shared", shared: true, minCrashes: 3, maxCrashes: 4},
		{name: "facts not shared", shared: false, minCrashes: 5, maxCrashes: 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			proxies, transport := newCrashingProxies(t, c.shared)
			status := 0
			for n := range 10 {
				status = sendRequest(t, proxies[n%2], "/safe/poison")
			}
			if transport.crashes < c.minCrashes || transport.crashes > c.maxCrashes {
				t.Errorf("%d endpoints crashed, want %d to %d", transport.crashes, c.minCrashes, c.maxCrashes)
			}
			if status != http.StatusServiceUnavailable {
				t.Errorf("status %d for the last request, want 503", status)
			}
			if other := sendRequest(t, proxies[0], "/safe/other"); c.shared && other != http.StatusOK {
				t.Errorf("status %d for a request that crashes no endpoint, want 200", other)
			}
		})
	}
}

// TestQuarantineNeedsCrash guards against quarantining a request whose responses
// were lost while the endpoints kept running.
func TestQuarantineNeedsCrash(t *testing.T) {
	proxy, transport, router := newTestProxy(t, "broken")
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	router.WithTable(func(table *endpoint.Table) {
		for _, id := range []savorystep.EndpointID{"a", "b", "c"} {
			table.Put(time.Now(), savorystep.Endpoint{
				ID: id, Service: "s", State: savorystep.StateLive, Slots: 50, ReportSequence: 2, WrittenVersion: 3,
				Address: savorystep.Address(server.Listener.Addr().String()), Place: savorystep.Place{Zone: "z"},
			})
		}
	})
	for range 3 {
		if status := sendRequest(t, proxy, "/once/x"); status != http.StatusBadGateway {
			t.Fatalf("status %d, want 502", status)
		}
	}
	if len(transport.requests()) != 3 {
		t.Errorf("%d attempts, want 3", len(transport.requests()))
	}
}
