package ingress_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/ingress"
)

// A shiftedClock is ahead of the system clock.
type shiftedClock struct {
	ahead atomic.Int64
}

func (c *shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

func (c *shiftedClock) advance(by time.Duration) { c.ahead.Add(int64(by)) }

// newShiftedProxy is newPatientProxy with a clock that can be advanced.
func newShiftedProxy(t *testing.T, outcomes ...string) (*ingress.Proxy, *fakeTransport, *shiftedClock) {
	t.Helper()
	_, transport, router := newPatientProxy(t, outcomes...)
	clock := &shiftedClock{}
	return ingress.NewProxy(ingress.ProxyConfig{
		Clock: clock, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{},
		Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: transport, Router: router,
	}), transport, clock
}

// TestRetryAfterOfEndpoint guards against requests to an endpoint in the time for which
// it wants none, and against an endpoint that gets none after that time.
func TestRetryAfterOfEndpoint(t *testing.T) {
	proxy, transport, clock := newShiftedProxy(t, "shed 30s", "ok")
	sendSafe(t, proxy, "object")
	closed := transport.requests()[0].endpoint
	sendAll := func(object string, count int, gap time.Duration) int {
		sent := len(transport.requests())
		for i := range count {
			clock.advance(gap)
			if status := sendSafe(t, proxy, fmt.Sprint(object, i%20)).Code; status != http.StatusOK {
				t.Errorf("request %d: status %d, want 200", i, status)
			}
		}
		return countRequestsTo(transport.requests()[sent:], closed)
	}
	if got := sendAll("object", 100, 200*time.Millisecond); got != 0 {
		t.Errorf("endpoint %s got %d requests in the time for which it wants none, want 0", closed, got)
	}
	clock.advance(15 * time.Second)
	if got := sendAll("other", 40, 200*time.Millisecond); got == 0 {
		t.Errorf("endpoint %s got no requests after the time for which it wants none, want some", closed)
	}
}

// TestRetryAfterOfAllEndpoints guards against requests that wait for or are sent to
// endpoints which all want none, and against callers that are told to come back before
// the first of them wants requests, or all at the same moment.
func TestRetryAfterOfAllEndpoints(t *testing.T) {
	proxy, transport, clock := newShiftedProxy(t, "shed 30s", "shed 20s", "shed 40s")
	for i := range 3 {
		sendSafe(t, proxy, fmt.Sprint("object", i))
		clock.advance(time.Second)
	}
	sent := len(transport.requests())
	shortest, longest := 1e9, 0.0
	for i := range 50 {
		response := sendSafe(t, proxy, fmt.Sprint("object", i))
		after, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
		if response.Code != http.StatusServiceUnavailable || err != nil {
			t.Fatalf("status %d, Retry-After %q, want 503 with a number of seconds", response.Code, response.Header().Get("Retry-After"))
		}
		shortest, longest = min(shortest, after), max(longest, after)
	}
	if got := len(transport.requests()) - sent; got != 0 {
		t.Errorf("%d requests were sent to endpoints that want none, want 0", got)
	}
	t.Logf("Retry-After from %.2f to %.2f s", shortest, longest)
	// The first endpoint wants requests again 20 s after its response, 17 to 20 s from
	// now on.
	if shortest < 15 || longest > 35 || longest-shortest < 1 {
		t.Errorf("Retry-After from %.2f to %.2f s, want at least 15 s and a spread of more than 1 s", shortest, longest)
	}
}

var _ savorystep.Clock = (*shiftedClock)(nil)
