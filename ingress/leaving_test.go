package ingress_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// newPatientProxy is newTestProxy with a route that leaves enough time for an endpoint
// that is expected to be slow.
func newPatientProxy(t *testing.T, outcomes ...string) (*ingress.Proxy, *fakeTransport, *ingress.Router) {
	t.Helper()
	proxy, transport, router := newTestProxy(t, outcomes...)
	router.SetRouting(savorystep.NewRouting(2, []*savorystep.Route{{
		Name: "safe", Host: "h", Prefix: "/safe/", Class: savorystep.RequestClassIdempotent,
		Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, MaxAttempts: 2, Sticky: true,
	}}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{HeaderBytes: 4096, BodyBytes: 1000}))
	return proxy, transport, router
}

// sendSafe sends a request for an object that may run more than once and returns the
// response.
func sendSafe(t *testing.T, proxy *ingress.Proxy, object string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/x", http.NoBody)
	r.RequestURI = "/safe/x"
	r.Header.Set("Attempt", object)
	r.Header.Set("Affinity", object)
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, r)
	return recorder
}

// countRequestsTo returns how many of the requests went to an endpoint.
func countRequestsTo(requests []sentRequest, id savorystep.EndpointID) int {
	count := 0
	for _, r := range requests {
		if r.endpoint == id {
			count++
		}
	}
	return count
}

// TestLeavingEndpointGetsNoRequests guards against requests to an endpoint that has
// said in a response that it leaves: attempts and retries, whatever the response was.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	for _, outcome := range []string{"leaving", "leaving shed", "leaving failed"} {
		t.Run(outcome, func(t *testing.T) {
			proxy, transport, _ := newPatientProxy(t, outcome, "ok")
			sendSafe(t, proxy, "object")
			left := transport.requests()[0].endpoint
			for i := range 50 {
				if status := sendSafe(t, proxy, fmt.Sprint("object", i%20)).Code; status != http.StatusOK {
					t.Errorf("request %d: status %d, want 200", i, status)
				}
			}
			if got := countRequestsTo(transport.requests()[1:], left); got != 0 {
				t.Errorf("endpoint %s got %d requests after it said that it leaves, want 0", left, got)
			}
		})
	}
}

// TestLeavingOfAnother guards against an endpoint that is given up because another
// endpoint at its address leaves.
func TestLeavingOfAnother(t *testing.T) {
	proxy, _, router := newTestProxy(t, "leaving gone", "ok")
	sendSafe(t, proxy, "object")
	var usable int
	router.WithTable(func(table *endpoint.Table) { _, usable = table.CountEndpoints(time.Now().Add(10*time.Second), "s") })
	if usable != 3 {
		t.Errorf("%d endpoints are usable, want 3", usable)
	}
}

// TestLeavingIsShared guards against an instance that sends requests to a leaving
// endpoint until it is told itself.
func TestLeavingIsShared(t *testing.T) {
	facts := &fakeFacts{}
	var proxies []*ingress.Proxy
	var transports []*fakeTransport
	for range 2 {
		_, transport, router := newPatientProxy(t, "leaving", "ok")
		transports = append(transports, transport)
		proxies = append(proxies, ingress.NewProxy(ingress.ProxyConfig{
			Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(facts, router), Leavings: ingress.NewLeavings(facts, router), Notices: noticeDecoder{},
			Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: transport, Router: router,
		}))
	}
	sendSafe(t, proxies[0], "object")
	left := transports[0].requests()[0].endpoint
	transports[1].outcomes = []string{"ok"}
	for i := range 50 {
		sendSafe(t, proxies[1], fmt.Sprint("object", i%20))
	}
	if got := countRequestsTo(transports[1].requests(), left); got != 0 {
		t.Errorf("endpoint %s got %d requests from the other instance, want 0", left, got)
	}
}

// TestInvalidLeavingFacts guards against facts of peers that stop the instance or make
// it give up endpoints.
func TestInvalidLeavingFacts(t *testing.T) {
	facts := &fakeFacts{}
	_, _, router := newTestProxy(t, "ok")
	ingress.NewLeavings(facts, router)
	for _, body := range []any{"text", map[int]string{1: "x"}, []int{1}, savorystep.LeavingFact{StartedAtMillis: -1}} {
		facts.Publish(savorystep.FactLeaving, "a", body)
	}
	if got := router.CountLeaving(); got != 0 {
		t.Errorf("%d endpoints are leaving, want 0", got)
	}
}
