package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// openConnections runs requests concurrently, so that the pool keeps the given
// number of connections open.
func (tb *testbed) openConnections(p *upstream.Pool, u *standin.Upstream, connections int) {
	tb.t.Helper()
	u.SetFaults(standin.UpstreamFaults{Hold: true})
	results := make(chan forwardResult, connections)
	for i := range connections {
		tb.forwardAsync(p, get(savorystep.RequestID(fmt.Sprint("fill", i)), "/echo"), results)
	}
	tb.eventually("all connections are used", func() bool { return int(u.Load().Busy) == connections })
	u.SetFaults(standin.UpstreamFaults{})
	for range connections {
		if result := <-results; result.err != nil {
			tb.t.Fatal(result.err)
		}
	}
}

// TestSilentConnections guards against continued use of connections on which no
// response arrives while new ones work. With the long progress timeout, the
// silent connection is detected because a newer one was verified. The variant
// without protection, whose timeouts are longer than the test, gets no
// response.
func TestSilentConnections(t *testing.T) {
	cases := []struct {
		name         string
		limits       upstream.Limits
		wantResponse bool
	}{
		{name: "verified newer connection", limits: upstream.Limits{OldConnProgressTimeout: 50 * time.Millisecond, ProgressTimeout: time.Hour}, wantResponse: true},
		{name: "progress timeout", limits: upstream.Limits{OldConnProgressTimeout: time.Hour, ProgressTimeout: 50 * time.Millisecond}, wantResponse: true},
		{name: "variant without protection", limits: upstream.Limits{OldConnProgressTimeout: time.Hour, ProgressTimeout: time.Hour, LoadPageInterval: -1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := newTestbed(t)
			a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
			p := tb.newPool(func(config *upstream.Config) {
				config.Limits.OldConnProgressTimeout, config.Limits.ProgressTimeout = c.limits.OldConnProgressTimeout, c.limits.ProgressTimeout
				if c.limits.LoadPageInterval != 0 {
					config.Limits.LoadPageInterval = c.limits.LoadPageInterval
				}
			})
			tb.openConnections(p, a, 3)
			a.SetFaults(standin.UpstreamFaults{Silent: true})
			request := get("r1", "/echo")
			if !c.wantResponse {
				request.Deadline = time.Now().Add(500 * time.Millisecond)
			}
			_, err := p.Forward(t.Context(), request)
			if !c.wantResponse {
				wantError(t, err, savorystep.KindDeadlineExceeded)
				return
			}
			// A read of the load page may have replaced the silent connection.
			if err != nil {
				wantError(t, err, savorystep.KindUpstreamFailed)
			}
			tb.eventually("requests get responses again", func() bool {
				response, err := p.Forward(t.Context(), get("r2", "/echo"))
				if err != nil {
					return false
				}
				return response.Body.Close() == nil
			})
			if tb.runsOf("r1") > 1 {
				t.Error("the request ran twice")
			}
		})
	}
}

// TestSilentConnectionsRetiredTogether guards against trying one silent
// connection after another when a newer connection has already worked.
func TestSilentConnectionsRetiredTogether(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 8})
	p := tb.newPool(func(c *upstream.Config) {
		c.Limits.OldConnProgressTimeout, c.Limits.ProgressTimeout = 50*time.Millisecond, time.Hour
		c.Limits.LoadPageInterval = -1
		c.Limits.Health.ConsecutiveFailures = 100
	})
	tb.openConnections(p, a, 8)
	a.SetFaults(standin.UpstreamFaults{Silent: true})
	_, err := p.Forward(t.Context(), get("r1", "/echo"))
	wantError(t, err, savorystep.KindUpstreamFailed)
	// Seven silent connections remain; none of them may be used.
	for i := range 8 {
		response, err := p.Forward(t.Context(), get(savorystep.RequestID(fmt.Sprint("next", i)), "/echo"))
		if err != nil {
			t.Fatal(err)
		}
		readAll(t, response)
	}
	tb.eventually("the silent connections are closed", func() bool { return a.Stats().OpenConnections <= 1 })
}

// TestSilentAtMostOnceNotCancelled guards against cancelling an at-most-once
// request because its response is late.
func TestSilentAtMostOnceNotCancelled(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(func(c *upstream.Config) {
		c.Limits.OldConnProgressTimeout, c.Limits.ProgressTimeout = 20*time.Millisecond, 40*time.Millisecond
	})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	results := make(chan forwardResult, 1)
	tb.forwardAsync(p, post("r1", "/echo"), results)
	tb.eventually("the slot is released", func() bool {
		return a.Load().Busy == 1 && p.RegionLoads(testService, time.Now())[0].UsedSlots == 0
	})
	a.SetFaults(standin.UpstreamFaults{})
	if result := <-results; result.err != nil {
		t.Errorf("the request was cancelled: %v", result.err)
	}
	if runs := a.Stats(); runs.Cancelled != 0 || runs.RunsByRequest["r1"] != 1 {
		t.Errorf("runs %+v, want 1 run and no cancelled one", runs)
	}
}

// TestDrain guards against new requests for an endpoint that is draining
// according to the platform's list, its load page or a peer, and against a
// drain that interrupts a request.
func TestDrain(t *testing.T) {
	cases := []struct {
		name  string
		drain func(*testbed)
	}{
		{name: "list", drain: func(tb *testbed) {
			leaving := tb.registry.endpoints[0]
			leaving.State = savorystep.StateLeaving
			tb.registry.set(leaving)
		}},
		{name: "page", drain: func(tb *testbed) { tb.upstreams["a"].SetFaults(standin.UpstreamFaults{Hold: true, Drain: true}) }},
		{name: "peer", drain: func(tb *testbed) {
			tb.factBus.join("instance-9").Publish(savorystep.FactDraining, "a", struct{}{})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := newTestbed(t)
			a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 3})
			tb.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
			p := tb.newPool(func(config *upstream.Config) {
				if c.name == "peer" {
					disableLoadPages(config)
				}
			})
			a.SetFaults(standin.UpstreamFaults{Hold: true})
			results := make(chan forwardResult, 1)
			tb.forwardAsync(p, get("r1", "/echo"), results)
			tb.eventually("the request runs", func() bool { return a.Load().Busy == 1 })
			c.drain(tb)
			tb.eventually("the draining endpoint is unusable", func() bool { return p.RegionLoads(testService, time.Now())[0].UsableEndpoints == 1 })
			response, err := p.Forward(t.Context(), get("r2", "/echo"))
			if err != nil {
				t.Fatal(err)
			}
			readAll(t, response)
			if response.Endpoint != "b" {
				t.Errorf("request ran on endpoint %s, want b", response.Endpoint)
			}
			a.SetFaults(standin.UpstreamFaults{})
			if result := <-results; result.err != nil {
				t.Errorf("the drain interrupted a request: %v", result.err)
			}
			peer := tb.factBus.join("instance-3")
			tb.eventually("the drain is published to peers", func() bool { return len(peer.Facts(savorystep.FactDraining)) > 0 })
		})
	}
}

// TestSuspectOwnNetwork guards against ejecting a whole region because of a
// fault in this instance's own network. If a peer reports the same, the region
// is ejected.
func TestSuspectOwnNetwork(t *testing.T) {
	cases := []struct {
		name       string
		peerAgrees bool
		suspect    bool
		usable     int
	}{
		{name: "only here", suspect: true, usable: 2},
		{name: "peer agrees", peerAgrees: true, usable: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := newTestbed(t)
			const endpoints = 4
			for i := range endpoints {
				id := savorystep.EndpointID(fmt.Sprint("u", i))
				tb.addUpstream(id, "natal", standin.UpstreamConfig{}).Crash()
				if c.peerAgrees {
					tb.factBus.join("instance-2").Publish(savorystep.FactHealth, string(id), savorystep.HealthFact{Ejected: true})
				}
			}
			p := tb.newPool(func(config *upstream.Config) {
				config.Limits.Health.BaseEjectionTime, config.Limits.Health.MaxEjectionTime = time.Hour, time.Hour
			})
			peer := tb.factBus.join("instance-2")
			if c.peerAgrees {
				for i := range endpoints {
					peer.Publish(savorystep.FactHealth, fmt.Sprint("u", i), savorystep.HealthFact{Ejected: true})
				}
			}
			heartbeat := func() { peer.Publish(savorystep.FactStatus, "", savorystep.StatusFact{}) }
			tb.eventually("the region is assessed", func() bool {
				heartbeat()
				_, _ = p.Forward(t.Context(), get("r", "/echo"))
				if c.suspect {
					return p.SuspectsOwnNetwork()
				}
				return p.RegionLoads(testService, time.Now())[0].UsableEndpoints == 0
			})
			if usable := p.RegionLoads(testService, time.Now())[0].UsableEndpoints; usable != c.usable || p.SuspectsOwnNetwork() != c.suspect {
				t.Errorf("%d endpoints usable, own network suspected %t, want %d and %t", usable, p.SuspectsOwnNetwork(), c.usable, c.suspect)
			}
		})
	}
}
