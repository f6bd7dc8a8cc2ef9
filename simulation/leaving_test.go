package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"savorystep/simulation"
)

// leaveOf returns an event by which a share of the endpoints say from a time on that
// they leave, while the endpoint list still has them as before.
func leaveOf(start, duration time.Duration, share float64) simulation.Event {
	return simulation.Event{Kind: simulation.EventLeave, Start: start, Duration: duration, Share: share}
}

// leavingCases are series of events under which endpoints that have said that they
// leave must get no requests from the instances that they told.
var leavingCases = []struct {
	name   string
	events []simulation.Event
}{
	{name: "three endpoints leave", events: []simulation.Event{leaveOf(6*time.Second, 0, 0.2)}},
	{name: "all endpoints but one leave", events: []simulation.Event{leaveOf(6*time.Second, 0, 0.9)}},
	{name: "all endpoints leave", events: []simulation.Event{leaveOf(6*time.Second, 0, 1)}},
	{name: "leave, end and start again twice", events: []simulation.Event{
		leaveOf(5*time.Second, 4*time.Second, 0.2),
		{Kind: simulation.EventDown, Start: 9 * time.Second, Duration: time.Second, Share: 0.2},
		leaveOf(12*time.Second, 5*time.Second, 0.2),
		{Kind: simulation.EventDown, Start: 17 * time.Second, Duration: time.Second, Share: 0.2},
	}},
	{name: "leave while removed from the list and listed again", events: []simulation.Event{
		leaveOf(6*time.Second, 0, 0.2),
		{Kind: simulation.EventUnlist, Start: 7 * time.Second, Duration: 3 * time.Second, Share: 0.3},
		{Kind: simulation.EventUnlist, Start: 13 * time.Second, Duration: 2 * time.Second, Share: 1},
	}},
	{name: "instances restarted, frozen and partitioned", events: []simulation.Event{
		{Kind: simulation.EventPartition, Start: 5 * time.Second, Duration: 6 * time.Second, Share: 0.4},
		leaveOf(6*time.Second, 0, 0.2),
		{Kind: simulation.EventRestart, Start: 9 * time.Second, Share: 0.5},
		{Kind: simulation.EventFreeze, Start: 12 * time.Second, Duration: 3 * time.Second, Share: 0.6},
		{Kind: simulation.EventRestart, Start: 17 * time.Second, Share: 1},
	}},
	{name: "leaving, limited and failing under a burst", events: []simulation.Event{
		leaveOf(6*time.Second, 0, 0.2), limitOf(7*time.Second, 0.3, 4.4),
		{Kind: simulation.EventFail, Start: 8 * time.Second, Duration: 8 * time.Second, Share: 1, Factor: 0.3},
		{Kind: simulation.EventBurst, Start: 9 * time.Second, Duration: 8 * time.Second, Factor: 1.8},
	}},
}

// noticeFleetSizes are the numbers of instances to which endpoints give notice.
var noticeFleetSizes = []int{1, 8, 83}

// TestLeavingEndpoints guards against requests to endpoints that have told the
// instance in a response that they leave.
func TestLeavingEndpoints(t *testing.T) {
	for _, test := range leavingCases {
		for _, size := range noticeFleetSizes {
			t.Run(fmt.Sprintf("%s/%d instances", test.name, size), func(t *testing.T) {
				t.Parallel()
				for seed := range min(3, seedCount()) {
					result := simulation.Run(rateLimitScenario(seed, size, test.events), simulation.DefaultPolicy())
					if result.LeavingTold == 0 {
						t.Errorf("seed %d: no endpoint told an instance that it leaves", seed)
					}
					if result.RequestsAfterLeaving > 0 {
						t.Errorf("seed %d: %d requests at endpoints that had told the instance that they leave, want 0", seed, result.RequestsAfterLeaving)
					}
				}
			})
		}
	}
}

// TestLeavingEndpointsCanFail shows that TestLeavingEndpoints can fail: instances that
// do not read the notices of endpoints send them requests on.
func TestLeavingEndpointsCanFail(t *testing.T) {
	policy := simulation.DefaultPolicy()
	policy.IgnoresNotices = true
	for _, test := range leavingCases {
		for _, size := range noticeFleetSizes {
			result := simulation.Run(rateLimitScenario(1, size, test.events), policy)
			t.Logf("%s, %d instances that ignore notices: %d requests at leaving endpoints", test.name, size, result.RequestsAfterLeaving)
			if result.RequestsAfterLeaving == 0 {
				t.Errorf("%s, %d instances that ignore notices: no request at a leaving endpoint, want some", test.name, size)
			}
		}
	}
}
