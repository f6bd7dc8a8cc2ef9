package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// fill runs requests at the same time, so that the pool keeps a connection for
// each slot.
func (s *testbed) openConnections(p *upstream.Pool, u *standin.Upstream, connections int) {
	s.t.Helper()
	u.SetFaults(standin.UpstreamFaults{Hold: true})
	ended := make(chan forwardResult, connections)
	for i := range connections {
		s.forwardAsync(p, get(savorystep.RequestID(fmt.Sprint("fill", i)), "/echo"), ended)
	}
	s.eventually("all connections are used", func() bool { return int(u.Load().Busy) == connections })
	u.SetFaults(standin.UpstreamFaults{})
	for range connections {
		if end := <-ended; end.err != nil {
			s.t.Fatal(end.err)
		}
	}
}

// TestSilentConnections guards against requests that go on using connections
// which never answer while new ones work. The long progress timeout shows that
// the proof by a new connection ends the silence; the variant with all
// protection beyond the patience of the test gets no answer.
func TestSilentConnections(t *testing.T) {
	cases := []struct {
		name   string
		limits upstream.Limits
		works  bool
	}{
		{name: "proven by a new connection", limits: upstream.Limits{OldConnProgressTimeout: 50 * time.Millisecond, ProgressTimeout: time.Hour}, works: true},
		{name: "progress timeout", limits: upstream.Limits{OldConnProgressTimeout: time.Hour, ProgressTimeout: 50 * time.Millisecond}, works: true},
		{name: "variant without protection", limits: upstream.Limits{OldConnProgressTimeout: time.Hour, ProgressTimeout: time.Hour, LoadPageInterval: -1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestbed(t)
			a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
			p := s.newPool(func(config *upstream.Config) {
				config.Limits.OldConnProgressTimeout, config.Limits.ProgressTimeout = c.limits.OldConnProgressTimeout, c.limits.ProgressTimeout
				if c.limits.LoadPageInterval != 0 {
					config.Limits.LoadPageInterval = c.limits.LoadPageInterval
				}
			})
			s.openConnections(p, a, 3)
			a.SetFaults(standin.UpstreamFaults{Silent: true})
			request := get("r1", "/echo")
			if !c.works {
				request.Deadline = time.Now().Add(500 * time.Millisecond)
			}
			_, err := p.Forward(t.Context(), request)
			if !c.works {
				wantError(t, err, savorystep.KindDeadlineExceeded)
				return
			}
			// A page read may have replaced the silent connection.
			if err != nil {
				wantError(t, err, savorystep.KindUpstreamFailed)
			}
			s.eventually("requests are answered again", func() bool {
				response, err := p.Forward(t.Context(), get("r2", "/echo"))
				if err != nil {
					return false
				}
				return response.Body.Close() == nil
			})
			if s.runsOf("r1") > 1 {
				t.Error("the request ran twice")
			}
		})
	}
}

// TestSilentRetireAll guards against one silent connection after another being
// tried when a newer connection has already worked.
func TestSilentConnectionsRetiredTogether(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 8})
	p := s.newPool(func(c *upstream.Config) {
		c.Limits.OldConnProgressTimeout, c.Limits.ProgressTimeout = 50*time.Millisecond, time.Hour
		c.Limits.LoadPageInterval = -1
		c.Limits.Health.ConsecutiveFailures = 100
	})
	s.openConnections(p, a, 8)
	a.SetFaults(standin.UpstreamFaults{Silent: true})
	_, err := p.Forward(t.Context(), get("r1", "/echo"))
	wantError(t, err, savorystep.KindUpstreamFailed)
	// Seven silent connections are left; none of them may be used.
	for i := range 8 {
		response, err := p.Forward(t.Context(), get(savorystep.RequestID(fmt.Sprint("next", i)), "/echo"))
		if err != nil {
			t.Fatal(err)
		}
		readAll(t, response)
	}
	s.eventually("the silent connections are closed", func() bool { return a.Runs().Open <= 1 })
}

// TestSilentOnceIsNotCancelled guards against interrupting a request that may
// run at most once because its answer is late.
func TestSilentAtMostOnceNotCancelled(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := s.newPool(func(c *upstream.Config) {
		c.Limits.OldConnProgressTimeout, c.Limits.ProgressTimeout = 20*time.Millisecond, 40*time.Millisecond
	})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	ended := make(chan forwardResult, 1)
	s.forwardAsync(p, post("r1", "/echo"), ended)
	s.eventually("the slot is given back", func() bool {
		return a.Load().Busy == 1 && p.RegionLoads(testService, time.Now())[0].UsedSlots == 0
	})
	a.SetFaults(standin.UpstreamFaults{})
	if end := <-ended; end.err != nil {
		t.Errorf("the request was interrupted: %v", end.err)
	}
	if runs := a.Runs(); runs.Cancelled != 0 || runs.Requests["r1"] != 1 {
		t.Errorf("runs %+v", runs)
	}
}

// TestDrain guards against new work for a draining endpoint that the list, its
// page or a peer tells of, and against a drain that interrupts a request.
func TestDrain(t *testing.T) {
	cases := []struct {
		name  string
		drain func(*testbed)
	}{
		{name: "list", drain: func(s *testbed) {
			leaving := s.registry.endpoints[0]
			leaving.State = savorystep.StateLeaving
			s.registry.set(leaving)
		}},
		{name: "page", drain: func(s *testbed) { s.upstreams["a"].SetFaults(standin.UpstreamFaults{Hold: true, Drain: true}) }},
		{name: "peer", drain: func(s *testbed) {
			s.factBus.join("entry-9").Publish(savorystep.FactDraining, "a", struct{}{})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestbed(t)
			a := s.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 3})
			s.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
			p := s.newPool(func(config *upstream.Config) {
				if c.name == "peer" {
					disableLoadPages(config)
				}
			})
			a.SetFaults(standin.UpstreamFaults{Hold: true})
			ended := make(chan forwardResult, 1)
			s.forwardAsync(p, get("r1", "/echo"), ended)
			s.eventually("the request runs", func() bool { return a.Load().Busy == 1 })
			c.drain(s)
			s.eventually("the endpoint is out", func() bool { return p.RegionLoads(testService, time.Now())[0].UsableEndpoints == 1 })
			response, err := p.Forward(t.Context(), get("r2", "/echo"))
			if err != nil {
				t.Fatal(err)
			}
			readAll(t, response)
			if response.Endpoint != "b" {
				t.Errorf("endpoint %s", response.Endpoint)
			}
			a.SetFaults(standin.UpstreamFaults{})
			if end := <-ended; end.err != nil {
				t.Errorf("the drain interrupted a request: %v", end.err)
			}
			peer := s.factBus.join("reader")
			s.eventually("peers are told", func() bool { return len(peer.Facts(savorystep.FactDraining)) > 0 })
		})
	}
}

// TestSuspectOwnLink guards against ejecting a whole region because of this
// instance's own link. When a peer finds the same, the region is ejected.
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
			s := newTestbed(t)
			const endpoints = 4
			for i := range endpoints {
				id := savorystep.EndpointID(fmt.Sprint("u", i))
				s.addUpstream(id, "natal", standin.UpstreamConfig{}).Crash()
				if c.peerAgrees {
					s.factBus.join("entry-2").Publish(savorystep.FactHealth, string(id), savorystep.HealthFact{Ejected: true})
				}
			}
			p := s.newPool(func(config *upstream.Config) {
				config.Limits.Health.BaseEjectionTime, config.Limits.Health.MaxEjectionTime = time.Hour, time.Hour
			})
			peer := s.factBus.join("entry-2")
			if c.peerAgrees {
				for i := range endpoints {
					peer.Publish(savorystep.FactHealth, fmt.Sprint("u", i), savorystep.HealthFact{Ejected: true})
				}
			}
			heartbeat := func() { peer.Publish(savorystep.FactStatus, "", savorystep.StatusFact{}) }
			s.eventually("the judgement is made", func() bool {
				heartbeat()
				_, _ = p.Forward(t.Context(), get("r", "/echo"))
				if c.suspect {
					return p.SuspectsOwnNetwork()
				}
				return p.RegionLoads(testService, time.Now())[0].UsableEndpoints == 0
			})
			if usable := p.RegionLoads(testService, time.Now())[0].UsableEndpoints; usable != c.usable || p.SuspectsOwnNetwork() != c.suspect {
				t.Errorf("%d usable, suspect %t", usable, p.SuspectsOwnNetwork())
			}
		})
	}
}
