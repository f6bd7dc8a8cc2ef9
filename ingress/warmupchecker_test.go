package ingress_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// A checkTransport sends health checks to endpoints and then ends the checker, which
// finishes the check that it is at. A check ends by its response only, not by the checker's
// timeout. Other requests go to Transport.
type checkTransport struct {
	ingress.Transport
	pool *http1.Pool
	stop context.CancelFunc
}

func (c checkTransport) Exchange(ctx context.Context, e savorystep.Endpoint, request *http1.Request) (*http1.Response, error) {
	if request.Target != healthPath {
		return c.Transport.Exchange(ctx, e, request)
	}
	response, err := c.pool.Exchange(context.WithoutCancel(ctx), e, request)
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
		setWarmup(router, time.Minute)
	}
	checked := checkTransport{Transport: transport, pool: newPool(), stop: cancel}
	endings := ingress.NewEndings(facts, routers[0])
	checker := ingress.NewWarmupChecker(ingress.WarmupCheckerConfig{Clock: savorystep.SystemClock{}, Endings: endings, HeaderNames: names, Router: routers[0], Transport: checked})
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: endings, Leavings: ingress.NewLeavings(facts, routers[0]), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(facts, nil), RateLimits: ingress.NewRateLimits(facts, routers[0]),
		Transport: checked, Router: routers[0], WarmupChecker: checker,
	})
	return proxy, routers, checker.Start(ctx)
}

// setWarmup configures the health checks and the warm-up of service s.
func setWarmup(router *ingress.Router, warmup time.Duration) {
	routing := router.Routing()
	specs := map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s", HealthPath: healthPath, Warmup: warmup}}
	router.SetRouting(savorystep.NewRouting(routing.Revision+1, routing.Routes, specs, routing.Limits))
}

// TestRestartBeforeRefusalIsColdEverywhere guards against instances that send an endpoint
// as much as a warm one, because it listened again before a connection was refused: it had
// lost power, or was back within the time that a check of its address takes. Its
// connections are reset, or one instance alone found it silent.
func TestRestartBeforeRefusalIsColdEverywhere(t *testing.T) {
	const cold = "ID: d\r\nCold: 3000\r\n"
	silent := errorTransport{err: &http1.ExchangeError{Stage: http1.StageSent, Cause: syscall.ETIMEDOUT}}
	pool := newPool()
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

// TestEndOfWarmupIsChecked guards against an endpoint that starts again in its warm-up
// without anyone noticing, and gets as much as a warm one when that warm-up would have been
// over, while the endpoint list can't be read.
func TestEndOfWarmupIsChecked(t *testing.T) {
	for _, c := range []struct {
		name, health string
		want         int
	}{
		{name: "started again", health: "ID: d\r\nCold: 3000\r\n", want: 1},
		{name: "warm", health: "ID: d\r\n", want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			address := startMortalEndpoint(t, mortalEndpoint{runs: &runs, health: c.health})
			facts := &fakeFacts{}
			reports := countReports(facts)
			_, routers := newEndingProxies(t, facts, errorTransport{}, address)
			setWarmup(routers[0], time.Minute)
			ctx, cancel := context.WithCancel(t.Context())
			t.Cleanup(cancel)
			now := time.Now()
			e := savorystep.Endpoint{ID: "d", Service: "s", StartedAtMillis: 7, Address: address}
			routers[0].WithTable(func(table *endpoint.Table) {
				table.SetListFailing(now, true)
				table.RecordEnded(now.Add(-2*time.Minute), e)
				// It answers a warm-up of a minute ago.
				table.RecordCold(now.Add(-time.Minute), e, time.Minute)
			})
			checker := ingress.NewWarmupChecker(ingress.WarmupCheckerConfig{
				Clock: stoppedClock(now), Endings: ingress.NewEndings(facts, routers[0]), HeaderNames: names, Router: routers[0],
				Transport: checkTransport{pool: newPool(), stop: cancel},
			})
			select {
			case err := <-checker.Start(ctx):
				if err != nil {
					t.Fatal(err)
				}
			case <-time.After(30 * time.Second):
				t.Fatal("the endpoint was not checked")
			}
			if got := reports(); got != c.want {
				t.Errorf("%d endings reported, want %d", got, c.want)
			}
			routers[0].WithTable(func(table *endpoint.Table) {
				if due := table.DueWarmupChecks(now); len(due) > 0 {
					t.Errorf("%d endpoints are still to be checked, want none", len(due))
				}
			})
		})
	}
}
