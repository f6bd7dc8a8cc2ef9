package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// A herdTransport simulates endpoints of which those in zone z1 hold all requests until
// they crash together. The others respond at once.
type herdTransport struct {
	mu   sync.Mutex
	held map[savorystep.EndpointID]int
	// crash is closed when the endpoints of zone z1 crash.
	crash chan struct{}
}

func (t *herdTransport) Exchange(_ context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	if e.Place.Zone != "z1" {
		return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
	}
	select {
	case <-t.crash:
		return nil, &http1.ExchangeError{Stage: http1.StageDial, Cause: errReset}
	default:
	}
	t.mu.Lock()
	t.held[e.ID]++
	t.mu.Unlock()
	<-t.crash
	return nil, &http1.ExchangeError{Stage: http1.StageSent, ClosedByEndpoint: true, Cause: io.EOF}
}

// heldAt returns the number of endpoints that hold requests.
func (t *herdTransport) heldAt() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// newHerdProxies returns the proxies of two instances that exchange facts, with twelve
// endpoints in zone z1 and two in zone z2, and their routers.
func newHerdProxies(t *testing.T, transport ingress.Transport) ([]*ingress.Proxy, []*ingress.Router) {
	t.Helper()
	facts, log := &fakeFacts{}, &memoryCrashLog{}
	var proxies []*ingress.Proxy
	var routers []*ingress.Router
	for range 2 {
		router := ingress.NewRouter(endpoint.Config{Self: "self", RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second})
		router.SetRouting(savorystep.NewRouting(1, []*savorystep.Route{{
			Name: "once", Host: "h", Prefix: "/once/", Class: savorystep.RequestClassNonIdempotent,
			Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second, MaxAttempts: 2,
		}}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{HeaderBytes: 4096, BodyBytes: 1000}))
		changes := savorystep.EndpointChanges{Version: 1, Full: true}
		for i := range 14 {
			zone := savorystep.Zone("z1")
			if i >= 12 {
				zone = "z2"
			}
			changes.Endpoints = append(changes.Endpoints, savorystep.Endpoint{
				ID: savorystep.EndpointID(fmt.Sprintf("e%d", i)), Service: "s", State: savorystep.StateLive, Slots: 3, StartedAtMillis: 1, ReportSequence: 1, WrittenVersion: 1,
				Address: "127.0.0.1:1", Place: savorystep.Place{Zone: zone},
			})
		}
		watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z1": "r", "z2": "r"}})
		watcher.ApplyList(time.Now(), changes)
		routers = append(routers, router)
		proxies = append(proxies, ingress.NewProxy(ingress.ProxyConfig{
			Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(facts, router), Leavings: ingress.NewLeavings(facts, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(facts, log), RateLimits: ingress.NewRateLimits(facts, router),
			Place: savorystep.Place{Region: "r", Zone: "z1"}, Transport: transport, Router: router,
		}))
	}
	return proxies, routers
}

// sendAttempt sends the busy request with an attempt id and returns the status.
func sendAttempt(t *testing.T, proxy *ingress.Proxy, id string) int {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/once/busy", http.NoBody)
	r.RequestURI = "/once/busy"
	r.Header.Set("Attempt", id)
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, r)
	return recorder.Code
}

// TestBusyRequestSurvivesZoneFailure guards against the quarantine of a busy request that
// ran on many endpoints when their zone failed: it crashed none of them, and the endpoints
// of the other zone can still run it.
func TestBusyRequestSurvivesZoneFailure(t *testing.T) {
	transport := &herdTransport{held: make(map[savorystep.EndpointID]int), crash: make(chan struct{})}
	proxies, routers := newHerdProxies(t, transport)
	var group sync.WaitGroup
	for n := range 40 {
		group.Go(func() { sendAttempt(t, proxies[n%2], strconv.Itoa(n)) })
	}
	for transport.heldAt() < 6 {
		time.Sleep(time.Millisecond)
	}
	close(transport.crash)
	group.Wait()
	for _, router := range routers {
		router.WithTable(func(table *endpoint.Table) {
			for i := range 12 {
				table.Remove(time.Now(), savorystep.EndpointID(fmt.Sprintf("e%d", i)))
			}
		})
	}
	for n := range 20 {
		if status := sendAttempt(t, proxies[n%2], fmt.Sprint("later", n)); status != http.StatusOK {
			t.Fatalf("status %d for the busy request after the failure of a zone, want 200", status)
		}
	}
}
