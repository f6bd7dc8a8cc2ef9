package ingress_test

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"savorystep"
	"savorystep/ingress"
)

// TestRateLimitStatements guards against responses whose rate limit is not noticed,
// and against limits that are taken from or ended by responses that do not come from
// the endpoint.
func TestRateLimitStatements(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []string
		want     int
	}{
		{name: "no limit", outcomes: []string{"ok"}, want: 0},
		{name: "limit", outcomes: []string{"limited"}, want: 1},
		{name: "limit in a response without execution", outcomes: []string{"limited shed", "ok"}, want: 1},
		{name: "limit of another endpoint at the address", outcomes: []string{"limited gone", "ok"}, want: 0},
		{name: "limit that is not a number", outcomes: []string{"limited badly"}, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy, _, router := newTestProxy(t, test.outcomes...)
			recorder := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/x", http.NoBody)
			r.RequestURI = "/safe/x"
			r.Header.Set("Attempt", "1")
			proxy.ServeHTTP(recorder, r)
			if got := router.CountRateLimited(time.Now()); got != test.want {
				t.Errorf("%d endpoints have a rate limit, want %d", got, test.want)
			}
		})
	}
}

// TestRateLimitIsShared guards against an instance that learns of a rate limit or of
// its end only from the endpoint itself, which it may have no share to ask.
func TestRateLimitIsShared(t *testing.T) {
	facts := &fakeFacts{}
	var proxies []*ingress.Proxy
	var routers []*ingress.Router
	for _, outcomes := range [][]string{{"limited", "ok"}, {"ok"}} {
		_, transport, router := newTestProxy(t, outcomes...)
		routers = append(routers, router)
		proxies = append(proxies, ingress.NewProxy(ingress.ProxyConfig{
			Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(facts, router), Leavings: ingress.NewLeavings(facts, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(facts, router),
			Transport: transport, Router: router,
		}))
	}
	send := func() {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/safe/x", http.NoBody)
		r.RequestURI = "/safe/x"
		r.Header.Set("Attempt", "1")
		r.Header.Set("Affinity", "object")
		proxies[0].ServeHTTP(httptest.NewRecorder(), r)
	}
	send()
	if got := routers[1].CountRateLimited(time.Now()); got != 1 {
		t.Errorf("%d endpoints have a rate limit at the other instance, want 1", got)
	}
	for i := range routers {
		if got := routers[i].CountRateLimited(time.Now().Add(time.Minute)); got != 0 {
			t.Errorf("instance %d: %d endpoints have a rate limit a minute after it was last stated, want 0", i, got)
		}
	}
}

// TestInvalidRateLimitFacts guards against facts of peers that stop the instance or
// set a limit that is not a number.
func TestInvalidRateLimitFacts(t *testing.T) {
	facts := &fakeFacts{}
	_, _, router := newTestProxy(t, "ok")
	ingress.NewRateLimits(facts, router)
	for _, body := range []any{
		"text", nil,
		map[int]string{3: "x"},
		savorystep.RateLimitFact{IsLimited: true, Rate: savorystep.RequestsPerSecond(math.NaN())},
		savorystep.RateLimitFact{IsLimited: true, Rate: -1},
	} {
		facts.Publish(savorystep.FactRateLimit, "a", body)
	}
	if got := router.CountRateLimited(time.Now()); got != 0 {
		t.Errorf("%d endpoints have a rate limit, want 0", got)
	}
}
