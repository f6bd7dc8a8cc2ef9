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

// A forwardResult is the result of a request that was forwarded in the
// background.
type forwardResult struct {
	id  savorystep.RequestID
	err error
}

// forwardAsync forwards a request in the background, reads its response and
// sends the result to ended.
func (tb *testbed) forwardAsync(f savorystep.Forwarder, request *savorystep.Request, results chan<- forwardResult) {
	go func() {
		response, err := f.Forward(tb.t.Context(), request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		results <- forwardResult{request.ID, err}
	}()
}

// queuedRequests returns how many requests are queued at a pool.
func queuedRequests(p *upstream.Pool) int {
	return p.RegionLoads(testService, time.Now())[0].Queued
}

// TestQueueOrder guards against granting a slot to a later request first, and
// against sending an endpoint more requests than it has slots.
func TestQueueOrder(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1, QueueCapacity: -1})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	p := tb.newPool(nil)
	const requests = 4
	results := make(chan forwardResult, requests)
	tb.forwardAsync(p, get("r0", "/echo"), results)
	tb.eventually("the first request runs", func() bool { return a.Load().Busy == 1 })
	for i := 1; i < requests; i++ {
		tb.forwardAsync(p, get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo"), results)
		tb.eventually("the request waits", func() bool { return queuedRequests(p) == i })
	}
	a.SetFaults(standin.UpstreamFaults{})
	for i := range requests {
		result := <-results
		if result.err != nil || result.id != savorystep.RequestID(fmt.Sprint("r", i)) {
			t.Errorf("result %d is %v, want the requests in order without error", i, result)
		}
	}
	if shed := a.Stats().Shed; shed != 0 {
		t.Errorf("the endpoint shed %d requests, want 0", shed)
	}
}

// TestQueueRefuses guards against an unbounded queue, and against queueing a
// request that cannot meet its deadline.
func TestQueueRefuses(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	p := tb.newPool(func(c *upstream.Config) { c.Limits.QueueFactor = 2 })
	results := make(chan forwardResult, 3)
	tb.forwardAsync(p, get("r0", "/echo"), results)
	tb.eventually("the first request runs", func() bool { return a.Load().Busy == 1 })
	// The estimated wait for the first slot is 20 ms.
	hasty := get("hasty", "/echo")
	hasty.Deadline = time.Now().Add(10 * time.Millisecond)
	_, err := p.Forward(t.Context(), hasty)
	wantError(t, err, savorystep.KindOverloaded)
	for i := 1; i <= 2; i++ {
		tb.forwardAsync(p, get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo"), results)
		tb.eventually("the request waits", func() bool { return queuedRequests(p) == i })
	}
	_, err = p.Forward(t.Context(), get("r3", "/echo"))
	wantError(t, err, savorystep.KindOverloaded)
	a.SetFaults(standin.UpstreamFaults{})
	for range 3 {
		if result := <-results; result.err != nil {
			t.Errorf("request %s: %v", result.id, result.err)
		}
	}
	if tb.runsOf("hasty") != 0 || tb.runsOf("r3") != 0 {
		t.Error("a rejected request ran")
	}
}

// TestQueueWithoutEndpoints guards against requests that stay queued for a
// region without usable endpoints while another region has free slots.
func TestQueueWithoutEndpoints(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1})
	a.SetFaults(standin.UpstreamFaults{Hold: true})
	tb.addUpstream("b", "recife", standin.UpstreamConfig{})
	p := tb.newPool(nil)
	results := make(chan forwardResult, 2)
	for i := range 2 {
		request := get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo")
		request.Record = record("natal", "recife")
		tb.forwardAsync(p, request, results)
		tb.eventually("the request runs or waits", func() bool { return int(a.Load().Busy)+queuedRequests(p) == i+1 })
	}
	leaving := tb.registry.endpoints[0]
	leaving.State = savorystep.StateLeaving
	tb.registry.set(leaving)
	if result := <-results; result.id != "r1" || result.err != nil {
		t.Errorf("result %v, want r1 without error", result)
	}
	a.SetFaults(standin.UpstreamFaults{})
	if result := <-results; result.err != nil {
		t.Errorf("the drain interrupted a request: %v", result.err)
	}
}

// TestPeerCountsLimitEndpointLoad guards against two instances that together
// send an endpoint more requests than it has slots. The variant without facts
// does.
func TestPeerCountsLimitEndpointLoad(t *testing.T) {
	for _, shareFacts := range []bool{true, false} {
		t.Run(fmt.Sprint("facts shared ", shareFacts), func(t *testing.T) {
			tb := newTestbed(t)
			a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1, QueueCapacity: -1})
			a.SetFaults(standin.UpstreamFaults{Hold: true})
			// The counts must not expire, however slow the machine is.
			lastingCounts := func(c *upstream.Config) {
				disableLoadPages(c)
				c.Limits.MinCountInterval, c.Limits.MaxCountAge = time.Hour, 4*time.Hour
			}
			first := tb.newPool(lastingCounts)
			second := tb.newPool(func(c *upstream.Config) {
				lastingCounts(c)
				c.Self.ID = "instance-2"
				if !shareFacts {
					c.Facts = (&factBus{}).join("instance-2")
				}
			})
			results := make(chan forwardResult, 2)
			tb.forwardAsync(first, get("r1", "/echo"), results)
			tb.eventually("the endpoint is full", func() bool { return a.Load().Busy == 1 })
			tb.eventually("the count reaches the peer", func() bool {
				return !shareFacts || second.RegionLoads(testService, time.Now())[0].UsedSlots == 1
			})
			tb.forwardAsync(second, get("r2", "/echo"), results)
			if shareFacts {
				tb.eventually("the second request waits", func() bool { return queuedRequests(second) == 1 })
			} else {
				tb.eventually("the second request is shed", func() bool { return a.Stats().Shed == 1 })
			}
			a.SetFaults(standin.UpstreamFaults{})
			for range 2 {
				result := <-results
				if shareFacts && result.err != nil {
					t.Errorf("request %s: %v", result.id, result.err)
				}
			}
			if shed := a.Stats().Shed; shareFacts && shed != 0 {
				t.Errorf("%d requests shed, want 0", shed)
			}
		})
	}
}
