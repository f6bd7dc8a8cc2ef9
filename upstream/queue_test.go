package upstream_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// An ending is the end of a request that ran in the background.
type forwardResult struct {
	id  savorystep.RequestID
	err error
}

// start forwards a request in the background and reports its end.
func (s *testbed) forwardAsync(f savorystep.Forwarder, request *savorystep.Request, ended chan<- forwardResult) {
	go func() {
		response, err := f.Forward(s.t.Context(), request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		ended <- forwardResult{request.ID, err}
	}()
}

// queued returns how many requests wait at a pool.
func queuedRequests(p *upstream.Pool) int {
	return p.RegionLoads(testService, time.Now())[0].Queued
}

// TestQueueOrder guards against a slot that goes to a request that came later,
// and against more requests at an endpoint than it has slots.
func TestQueueOrder(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1, Queue: -1})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	p := s.newPool(nil)
	const requests = 4
	ended := make(chan forwardResult, requests)
	s.forwardAsync(p, get("r0", "/echo"), ended)
	s.eventually("the first request runs", func() bool { return a.Load().Busy == 1 })
	for i := 1; i < requests; i++ {
		s.forwardAsync(p, get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo"), ended)
		s.eventually("the request waits", func() bool { return queuedRequests(p) == i })
	}
	a.SetFaults(standin.UpstreamFaults{})
	for i := range requests {
		end := <-ended
		if end.err != nil || end.id != savorystep.RequestID(fmt.Sprint("r", i)) {
			t.Errorf("end %d: %v", i, end)
		}
	}
	if shed := a.Runs().Shed; shed != 0 {
		t.Errorf("the endpoint shed %d requests", shed)
	}
}

// TestQueueRefuses guards against a queue without bound, and against a request
// that waits although it cannot meet its deadline.
func TestQueueRefuses(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	p := s.newPool(func(c *upstream.Config) { c.Limits.QueueFactor = 2 })
	ended := make(chan forwardResult, 3)
	s.forwardAsync(p, get("r0", "/echo"), ended)
	s.eventually("the first request runs", func() bool { return a.Load().Busy == 1 })
	// The wait for the first slot is estimated at 20 ms.
	hasty := get("hasty", "/echo")
	hasty.Deadline = time.Now().Add(10 * time.Millisecond)
	_, err := p.Forward(t.Context(), hasty)
	wantError(t, err, savorystep.KindOverloaded)
	for i := 1; i <= 2; i++ {
		s.forwardAsync(p, get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo"), ended)
		s.eventually("the request waits", func() bool { return queuedRequests(p) == i })
	}
	_, err = p.Forward(t.Context(), get("r3", "/echo"))
	wantError(t, err, savorystep.KindOverloaded)
	a.SetFaults(standin.UpstreamFaults{})
	for range 3 {
		if end := <-ended; end.err != nil {
			t.Errorf("request %s: %v", end.id, end.err)
		}
	}
	if s.runsOf("hasty") != 0 || s.runsOf("r3") != 0 {
		t.Error("a refused request ran")
	}
}

// TestQueueStranded guards against requests that wait for a region that has
// lost all its endpoints while another region is free.
func TestQueueWithoutEndpoints(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	s.addUpstream("b", "recife", standin.UpstreamConfig{})
	p := s.newPool(nil)
	ended := make(chan forwardResult, 2)
	for i := range 2 {
		request := get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo")
		request.Record = record("natal", "recife")
		s.forwardAsync(p, request, ended)
		s.eventually("the request runs or waits", func() bool { return int(a.Load().Busy)+queuedRequests(p) == i+1 })
	}
	leaving := s.registry.endpoints[0]
	leaving.State = savorystep.StateLeaving
	s.registry.set(leaving)
	if end := <-ended; end.id != "r1" || end.err != nil {
		t.Errorf("end %v", end)
	}
	a.SetFaults(standin.UpstreamFaults{})
	if end := <-ended; end.err != nil {
		t.Errorf("the drain interrupted a request: %v", end.err)
	}
}

// TestPeersCount guards against two entries that together send an endpoint
// more requests than it has slots. The variant without facts does.
func TestPeerCountsLimitEndpointLoad(t *testing.T) {
	for _, shareFacts := range []bool{true, false} {
		t.Run(fmt.Sprint("informed ", shareFacts), func(t *testing.T) {
			s := newTestbed(t)
			a := s.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1, Queue: -1})
			a.SetFaults(standin.UpstreamFaults{Hold: true})
			// The counts must not fade, however slow the machine is.
			lastingCounts := func(c *upstream.Config) {
				disableLoadPages(c)
				c.Limits.MinCountInterval, c.Limits.MaxCountAge = time.Hour, 4*time.Hour
			}
			first := s.newPool(lastingCounts)
			second := s.newPool(func(c *upstream.Config) {
				lastingCounts(c)
				c.Self.ID = "entry-2"
				if !shareFacts {
					c.Facts = (&factBus{}).join("entry-2")
				}
			})
			ended := make(chan forwardResult, 2)
			s.forwardAsync(first, get("r1", "/echo"), ended)
			s.eventually("the endpoint is full", func() bool { return a.Load().Busy == 1 })
			s.eventually("peers know it", func() bool {
				return !shareFacts || second.RegionLoads(testService, time.Now())[0].UsedSlots == 1
			})
			s.forwardAsync(second, get("r2", "/echo"), ended)
			if shareFacts {
				s.eventually("the second request waits", func() bool { return queuedRequests(second) == 1 })
			} else {
				s.eventually("the second request is shed", func() bool { return a.Runs().Shed == 1 })
			}
			a.SetFaults(standin.UpstreamFaults{})
			for range 2 {
				end := <-ended
				if shareFacts && end.err != nil {
					t.Errorf("request %s: %v", end.id, end.err)
				}
			}
			if shed := a.Runs().Shed; shareFacts && shed != 0 {
				t.Errorf("%d requests shed", shed)
			}
		})
	}
}
