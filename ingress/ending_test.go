package ingress_test

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// countCold returns the number of endpoints that will count as cold at a router when the
// backoff after a failure has ended.
func countCold(router *ingress.Router) int {
	count := 0
	for _, e := range router.Excluded(time.Now().Add(time.Second)) {
		if e.Exclusion == endpoint.ExclusionCold || e.Exclusion == endpoint.ExclusionColdLimit {
			count++
		}
	}
	return count
}

// An errorTransport ends all exchanges with an error.
type errorTransport struct {
	err error
	// onExchange is called at the start of each exchange unless it is nil.
	onExchange func()
}

func (e errorTransport) Exchange(context.Context, savorystep.Endpoint, *http1.Request) (*http1.Response, error) {
	if e.onExchange != nil {
		e.onExchange()
	}
	return nil, e.err
}

// newEndingProxies returns two proxies that exchange facts and have the same endpoint,
// and their routers. The endpoint has been listed for longer than instances take for
// theirs to be cold after a start.
func newEndingProxies(t *testing.T, facts savorystep.Facts, transport ingress.Transport, address savorystep.Address) (*ingress.Proxy, [2]*ingress.Router) {
	t.Helper()
	var routers [2]*ingress.Router
	var first *ingress.Proxy
	for i := range routers {
		_, _, router := newTestProxy(t, "ok")
		extendTimeouts(router)
		router.WithTable(func(table *endpoint.Table) {
			for _, id := range []savorystep.EndpointID{"a", "b", "c"} {
				table.Remove(time.Now(), id)
			}
			table.Put(time.Now(), savorystep.Endpoint{
				ID: "d", Service: "s", State: savorystep.StateLive, Slots: 50, StartedAtMillis: 7, ReportSequence: 1, WrittenVersion: 3,
				Address: address, Place: savorystep.Place{Zone: "z"},
			})
		})
		proxy := ingress.NewProxy(ingress.ProxyConfig{
			Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(facts, router), Leavings: ingress.NewLeavings(facts, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(facts, nil), RateLimits: ingress.NewRateLimits(facts, router),
			Transport: transport, Router: router,
		})
		if i == 0 {
			first = proxy
		}
		routers[i] = router
	}
	return first, routers
}

// TestEndedEndpointIsColdEverywhere guards against instances that send an endpoint as much
// as a warm one when it starts again, although one of them found that it had ended: a
// connection was refused, or a request broke off and nothing listens any more.
func TestEndedEndpointIsColdEverywhere(t *testing.T) {
	closed, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	var runs atomic.Int64
	cases := []struct {
		name    string
		address savorystep.Address
	}{
		{name: "connection refused", address: savorystep.Address(closed.Addr().String())},
		{name: "request broken off", address: startMortalEndpoint(t, mortalEndpoint{runs: &runs})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			proxy, routers := newEndingProxies(t, &fakeFacts{}, newPool(), c.address)
			post(t, proxy, "/once/poison", "body")
			for i, router := range routers {
				if got := countCold(router); got != 1 {
					t.Errorf("instance %d: %d endpoints count as cold, want 1", i, got)
				}
			}
		})
	}
}

// TestOnlyEndedEndpointsAreReported guards against an endpoint that counts as cold at all
// instances, or a zone of them whose callers are then refused, although it runs: its
// connections are cut, reset or silent, its responses break off or are no responses, its
// queue of connections is full, or it stops as planned.
func TestOnlyEndedEndpointsAreReported(t *testing.T) {
	var runs atomic.Int64
	alive := startMortalEndpoint(t, mortalEndpoint{runs: &runs, survives: true})
	garbled := startMortalEndpoint(t, mortalEndpoint{runs: &runs, survives: true, dying: "no response\r\n\r\n"})
	pool := newPool()
	exchangeError := func(stage http1.Stage, cause error) ingress.Transport {
		return errorTransport{err: &http1.ExchangeError{Stage: stage, Cause: cause}}
	}
	cases := []struct {
		name      string
		transport ingress.Transport
		address   savorystep.Address
	}{
		{name: "broken off by an endpoint that runs", transport: pool, address: alive},
		{name: "no response", transport: pool, address: garbled},
		{name: "connection not opened in time", transport: exchangeError(http1.StageDial, os.ErrDeadlineExceeded), address: alive},
		{name: "host unreachable", transport: exchangeError(http1.StageDial, syscall.EHOSTUNREACH), address: alive},
		{name: "connection reset while it is opened", transport: exchangeError(http1.StageDial, syscall.ECONNRESET), address: alive},
		{name: "silent", transport: exchangeError(http1.StageSent, syscall.ETIMEDOUT), address: alive},
		{name: "deadline", transport: exchangeError(http1.StageSent, context.DeadlineExceeded), address: alive},
		{name: "left by the caller", transport: exchangeError(http1.StageDial, context.Canceled), address: alive},
		{name: "another error", transport: errorTransport{err: errors.New("broken")}, address: alive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			facts := &fakeFacts{}
			reports := countReports(facts)
			proxy, routers := newEndingProxies(t, facts, c.transport, c.address)
			post(t, proxy, "/once/poison", "body")
			if got := reports(); got != 0 {
				t.Errorf("%d endings reported, want 0", got)
			}
			if got := countCold(routers[1]); got != 0 {
				t.Errorf("%d endpoints count as cold at the other instance, want 0", got)
			}
		})
	}
	t.Run("planned stop", func(t *testing.T) {
		facts := &fakeFacts{}
		reports := countReports(facts)
		transport := errorTransport{
			err:        &http1.ExchangeError{Stage: http1.StageDial, Cause: syscall.ECONNREFUSED},
			onExchange: func() { facts.Publish(savorystep.FactLeaving, "d", savorystep.LeavingFact{StartedAtMillis: 7}) },
		}
		proxy, _ := newEndingProxies(t, facts, transport, alive)
		post(t, proxy, "/once/x", "body")
		if got := reports(); got != 0 {
			t.Errorf("%d endings reported, want 0", got)
		}
	})
}

// countReports returns a function that returns the number of endings that were reported.
func countReports(facts *fakeFacts) func() int {
	var mu sync.Mutex
	count := 0
	facts.Subscribe(savorystep.FactEnded, func(savorystep.ReceivedFact) {
		mu.Lock()
		defer mu.Unlock()
		count++
	})
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// TestInvalidEndedFacts guards against facts of peers that stop the instance or make
// endpoints cold that run.
func TestInvalidEndedFacts(t *testing.T) {
	facts := &fakeFacts{}
	_, routers := newEndingProxies(t, facts, errorTransport{}, "127.0.0.1:1")
	for _, body := range []any{"text", map[int]string{1: "x"}, []int{1}, savorystep.EndedFact{StartedAtMillis: -1}, savorystep.EndedFact{StartedAtMillis: 6}} {
		facts.Publish(savorystep.FactEnded, "d", body)
	}
	if got := countCold(routers[0]); got != 0 {
		t.Errorf("%d endpoints count as cold, want 0", got)
	}
}
