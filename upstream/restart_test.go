package upstream_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// restart lists an endpoint as started again under its id and address, with one slot
// more, and waits until the pool knows the new entry.
func (tb *testbed) restart(p *upstream.Pool, index int) {
	tb.t.Helper()
	slots := p.RegionLoads(testService, time.Now())[0].Slots
	entry := tb.registry.endpoints[index]
	entry.StartedAtMillis++
	entry.Slots++
	tb.registry.set(entry)
	tb.eventually("the new entry is known", func() bool {
		return p.RegionLoads(testService, time.Now())[0].Slots > slots
	})
}

// TestRestartedEndpointStartsSlowly guards against sending an endpoint its full load
// immediately after it has started again under its id and address: its caches are cold.
// The variant without slow start does.
func TestRestartedEndpointStartsSlowly(t *testing.T) {
	tests := []struct {
		name        string
		window      time.Duration
		wantRunning savorystep.Slots
	}{
		{name: "slow start", window: time.Hour, wantRunning: 1},
		{name: "variant without slow start", window: time.Nanosecond, wantRunning: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const requests = 8
			tb := newTestbed(t)
			a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 20})
			p := tb.newPool(func(c *upstream.Config) {
				disableLoadPages(c)
				c.Limits.Health.SlowStartWindow = test.window
			})
			tb.restart(p, 0)
			a.SetFaults(standin.UpstreamFaults{Hold: true})
			results := make(chan forwardResult, requests)
			for i := range requests {
				tb.forwardAsync(p, get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo"), results)
			}
			tb.eventually("all requests run or are queued", func() bool {
				return int(a.Load().Busy)+queuedRequests(p) == requests
			})
			if running := a.Load().Busy; running != test.wantRunning {
				t.Errorf("%d requests run after the restart, want %d", running, test.wantRunning)
			}
			a.SetFaults(standin.UpstreamFaults{})
			for range requests {
				if result := <-results; result.err != nil {
					t.Errorf("request %s: %v", result.id, result.err)
				}
			}
		})
	}
}

// ejectOnly makes the only endpoint of a testbed fail until the pool ejects it.
func (tb *testbed) ejectOnly(p *upstream.Pool) {
	tb.t.Helper()
	u := tb.upstreams["a"]
	u.SetFaults(standin.UpstreamFaults{Truncate: true})
	tb.eventually("the endpoint is ejected", func() bool {
		response, err := p.Forward(tb.t.Context(), get("fail", "/size/100000"))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		return p.RegionLoads(testService, time.Now())[0].UsableEndpoints == 0
	})
	u.SetFaults(standin.UpstreamFaults{})
}

// TestRestartedEndpointIsNotEjected guards against an endpoint that gets no requests after
// it has started again, because its earlier incarnation was ejected.
func TestRestartedEndpointIsNotEjected(t *testing.T) {
	tb := newTestbed(t)
	tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(func(c *upstream.Config) {
		disableLoadPages(c)
		c.Limits.Health.BaseEjectionTime, c.Limits.Health.MaxEjectionTime = time.Hour, time.Hour
	})
	tb.ejectOnly(p)
	entry := tb.registry.endpoints[0]
	entry.StartedAtMillis++
	tb.registry.set(entry)
	tb.eventually("the restarted endpoint is usable", func() bool {
		return p.RegionLoads(testService, time.Now())[0].UsableEndpoints == 1
	})
}

// TestEjectionEndsWithIncarnation guards against peers that take an endpoint for ejected
// by this instance after it has started again or is no longer listed.
func TestEjectionEndsWithIncarnation(t *testing.T) {
	tests := []struct {
		name   string
		change func(*testbed)
	}{
		{name: "started again", change: func(tb *testbed) {
			entry := tb.registry.endpoints[0]
			entry.StartedAtMillis++
			tb.registry.set(entry)
		}},
		{name: "not listed any more", change: func(tb *testbed) {
			entry := tb.registry.endpoints[0]
			entry.State = savorystep.StateEnded
			tb.registry.set(entry)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb := newTestbed(t)
			tb.addUpstream("a", "natal", standin.UpstreamConfig{})
			peer := tb.factBus.join("instance-2")
			p := tb.newPool(func(c *upstream.Config) {
				disableLoadPages(c)
				c.Limits.Health.BaseEjectionTime, c.Limits.Health.MaxEjectionTime = time.Hour, time.Hour
			})
			tb.ejectOnly(p)
			isEjected := func() bool {
				facts := peer.Facts(savorystep.FactHealth)
				var body savorystep.HealthFact
				return len(facts) > 0 && cbor.Unmarshal(facts[len(facts)-1].Body, &body) == nil && body.Ejected
			}
			tb.eventually("peers know of the ejection", isEjected)
			// A list without usable endpoints is ignored.
			tb.addUpstream("b", "natal", standin.UpstreamConfig{})
			test.change(tb)
			tb.eventually("peers know that the ejection has ended", func() bool { return !isEjected() })
		})
	}
}

// TestQuarantineCountsRestarts guards against a request that is never quarantined, because
// the endpoint that it crashes starts again under its id each time.
func TestQuarantineCountsRestarts(t *testing.T) {
	tb := newTestbed(t)
	instance := newInstance(tb, "instance-1", true)
	var last error
	for start := range 4 {
		tb.addUpstream("a", "natal", standin.UpstreamConfig{}).SetFaults(standin.UpstreamFaults{CrashPath: "/poison"})
		entry := tb.registry.endpoints[0]
		entry.StartedAtMillis = int64(start + 1)
		tb.registry.set(entry)
		tb.eventually("the started endpoint gets a request", func() bool {
			_, last = instance.Forward(t.Context(), get("r1", "/poison"))
			return tb.runsOf("r1") == 1 || savorystep.KindOf(last) == savorystep.KindQuarantined
		})
		if savorystep.KindOf(last) == savorystep.KindQuarantined {
			if start != 2 {
				t.Errorf("quarantined after %d crashes, want 2", start)
			}
			return
		}
	}
	t.Errorf("not quarantined after 4 crashes: %v", last)
}
