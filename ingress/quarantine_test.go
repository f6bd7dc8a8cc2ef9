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

// A killedSender has endpoints that die with the request /safe/poison. Their
// addresses refuse connections.
type killedSender struct {
	deaths int
	dead   map[savorystep.EndpointID]bool
}

func (k *killedSender) Exchange(_ context.Context, e savorystep.Endpoint, r *http1.Request) (*http1.Response, error) {
	if k.dead[e.ID] {
		return nil, &http1.ExchangeError{Stage: http1.StageDial, Cause: errReset}
	}
	if r.Target == "/safe/poison" {
		k.deaths++
		k.dead[e.ID] = true
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: io.EOF}
	}
	return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
}

// newKilledFronts returns two instances with endpoints that die, which share
// facts or not.
func newKilledFronts(t *testing.T, shared bool) ([]*ingress.Proxy, *killedSender) {
	t.Helper()
	sender := &killedSender{dead: make(map[savorystep.EndpointID]bool)}
	facts := &fakeFacts{}
	var fronts []*ingress.Proxy
	for range 2 {
		if !shared {
			facts = &fakeFacts{}
		}
		_, _, steering := newFront(t, "ok")
		steering.WithTable(func(table *endpoint.Table) {
			for _, id := range []savorystep.EndpointID{"a", "b", "c", "d", "e", "f", "g", "h"} {
				table.Put(time.Now(), savorystep.Endpoint{
					ID: id, Service: "s", State: savorystep.StateLive, Slots: 50, StartedAtMillis: 1, ReportSequence: 2, WrittenVersion: 3,
					Address: "127.0.0.1:1", Place: savorystep.Place{Zone: "z"},
				})
			}
		})
		fronts = append(fronts, ingress.NewProxy(ingress.ProxyConfig{
			Clock: savorystep.SystemClock{}, HeaderNames: names, Quarantine: ingress.NewQuarantine(facts),
			Transport: sender, Router: steering,
		}))
	}
	return fronts, sender
}

func askFront(t *testing.T, front *ingress.Proxy, target string) int {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+target, http.NoBody)
	r.RequestURI = target
	recorder := httptest.NewRecorder()
	front.ServeHTTP(recorder, r)
	return recorder.Code
}

// TestQuarantine guards against a request that kills endpoint after endpoint
// while its caller sends it again through different instances.
func TestQuarantine(t *testing.T) {
	cases := []struct {
		name   string
		shared bool
		// most is how many deaths there may be.
		most, least int
	}{
		{name: "facts shared", shared: true, least: 3, most: 4},
		{name: "without the facts of others", shared: false, least: 5, most: 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fronts, sender := newKilledFronts(t, c.shared)
			status := 0
			for n := range 10 {
				status = askFront(t, fronts[n%2], "/safe/poison")
			}
			if sender.deaths < c.least || sender.deaths > c.most {
				t.Errorf("%d endpoints died, want %d to %d", sender.deaths, c.least, c.most)
			}
			if status != http.StatusServiceUnavailable {
				t.Errorf("status %d for the last one", status)
			}
			if other := askFront(t, fronts[0], "/safe/other"); c.shared && other != http.StatusOK {
				t.Errorf("status %d for another request", other)
			}
		})
	}
}

// TestQuarantineNeedsDeath guards against a request that is kept from endpoints
// because answers to it were lost while the endpoints live.
func TestQuarantineNeedsDeath(t *testing.T) {
	front, sender, steering := newFront(t, "broken")
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	steering.WithTable(func(table *endpoint.Table) {
		for _, id := range []savorystep.EndpointID{"a", "b", "c"} {
			table.Put(time.Now(), savorystep.Endpoint{
				ID: id, Service: "s", State: savorystep.StateLive, Slots: 50, ReportSequence: 2, WrittenVersion: 3,
				Address: savorystep.Address(server.Listener.Addr().String()), Place: savorystep.Place{Zone: "z"},
			})
		}
	})
	for range 3 {
		if status := askFront(t, front, "/once/x"); status != http.StatusBadGateway {
			t.Fatalf("status %d", status)
		}
	}
	if len(sender.requests()) != 3 {
		t.Errorf("%d sends, want 3", len(sender.requests()))
	}
}
