package ingress_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
)

// A checkTransport sends health checks to endpoints and then ends the checker, which
// finishes the check that it is at. Other requests go to Transport.
type checkTransport struct {
	ingress.Transport
	pool *http1.Pool
	stop context.CancelFunc
}

func (c checkTransport) Exchange(ctx context.Context, e savorystep.Endpoint, request *http1.Request) (*http1.Response, error) {
	if request.Target != healthPath {
		return c.Transport.Exchange(ctx, e, request)
	}
	response, err := c.pool.Exchange(ctx, e, request)
	c.stop()
	return response, err
}

// newWarmupProxies is newEndingProxies with an endpoint that is checked for its warm-up.
// The channel receives a value when the first check has ended.
func newWarmupProxies(t *testing.T, facts savorystep.Facts, transport ingress.Transport, address savorystep.Address) (*ingress.Proxy, [2]*ingress.Router, <-chan error) {
	t.Helper()
	_, routers := newEndingProxies(t, facts, transport, address)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, router := range routers {
		routing := router.Routing()
		specs := map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s", HealthPath: healthPath, Warmup: time.Minute}}
		router.SetRouting(savorystep.NewRouting(routing.Revision+1, routing.Routes, specs, routing.Limits))
	}
	checked := checkTransport{Transport: transport, pool: http1.NewPool(http1.Config{HeaderNames: names}), stop: cancel}
	endings := ingress.NewEndings(facts, routers[0])
	checker := ingress.NewWarmupChecker(ingress.WarmupCheckerConfig{Clock: savorystep.SystemClock{}, Endings: endings, HeaderNames: names, Router: routers[0], Transport: checked})
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: endings, Leavings: ingress.NewLeavings(facts, routers[0]), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(facts, nil), RateLimits: ingress.NewRateLimits(facts, routers[0]),
		Transport: checked, Router: routers[0], WarmupChecker: checker,
	})
	return proxy, routers, checker.Start(ctx)
}

// TestRestartBeforeRefusalIsColdEverywhere guards against instances that send an endpoint
// as much as a warm one, because it listened again before a connection was refused: it had
// lost power, or was back within the time that a check of its address takes. Its
// connections are reset, or one instance alone found it silent.
func TestRestartBeforeRefusalIsColdEverywhere(t *testing.T) {
	const cold = "ID: d\r\nCold: 3000\r\n"
	silent := errorTransport{err: &http1.ExchangeError{Stage: http1.StageSent, Cause: syscall.ETIMEDOUT}}
	pool := http1.NewPool(http1.Config{HeaderNames: names})
	cases := []struct {
		name      string
		health    string
		transport ingress.Transport
		want      int
	}{
		{name: "connection reset", transport: pool, health: cold, want: 1},
		{name: "silent to one instance", transport: silent, health: cold, want: 1},
		{name: "broken off by a warm endpoint", transport: pool, health: "ID: d\r\n"},
		{name: "broken off by an endpoint without warm-up", transport: pool, health: "ID: d\r\nCold: 0\r\n"},
		{name: "invalid warm-up", transport: pool, health: "ID: d\r\nCold: -5\r\n"},
		{name: "another endpoint at the address", transport: pool, health: "ID: x\r\nCold: 3000\r\n"},
		{name: "no endpoint's response", transport: pool, health: "Cold: 3000\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			address := startMortalEndpoint(t, mortalEndpoint{runs: &runs, survives: true, health: c.health})
			facts := &fakeFacts{}
			reports := countReports(facts)
			proxy, routers, done := newWarmupProxies(t, facts, c.transport, address)
			if got := post(t, proxy, "/once/poison", "body"); got == http.StatusOK {
				t.Fatalf("status %d, want a failure", got)
			}
			select {
			case err := <-done:
				if err != nil {
					t.Fatal(err)
				}
			case <-time.After(30 * time.Second):
				t.Fatal("the endpoint was not checked")
			}
			if got := reports(); got != c.want {
				t.Errorf("%d endings reported, want %d", got, c.want)
			}
			if got := countCold(routers[1]); got != c.want {
				t.Errorf("%d endpoints count as cold at the other instance, want %d", got, c.want)
			}
		})
	}
}
