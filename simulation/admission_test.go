package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"savorystep/simulation"
)

// admissionCases are series of events under which all that endpoints say about further
// requests must be heeded at once, whatever happens to instances and the store.
var admissionCases = []struct {
	name   string
	events []simulation.Event
}{
	{name: "the same endpoints limited, closed and leaving", events: []simulation.Event{
		limitOf(5*time.Second, 0.3, 4.4), closeOf(6*time.Second, 4*time.Second, 0.3, 3), leaveOf(8*time.Second, 0, 0.3),
	}},
	{name: "all endpoints closed, limited and leaving", events: []simulation.Event{
		closeOf(6*time.Second, 3*time.Second, 1, 2.5), limitOf(9*time.Second, 1, 4.4), leaveOf(14*time.Second, 0, 1),
	}},
	{name: "all endpoints leave while closed, end and start again", events: []simulation.Event{
		closeOf(5*time.Second, 3*time.Second, 1, 4), leaveOf(6*time.Second, 6*time.Second, 1),
		{Kind: simulation.EventDown, Start: 12 * time.Second, Duration: time.Second, Share: 1},
	}},
	{name: "store away and instances restarted meanwhile", events: []simulation.Event{
		{Kind: simulation.EventOutage, Start: 5 * time.Second, Duration: 12 * time.Second, Share: 1},
		limitOf(5*time.Second, 0.2, 4.4), leaveOf(6*time.Second, 0, 0.3), closeOf(7*time.Second, 4*time.Second, 0.5, 4),
		{Kind: simulation.EventRestart, Start: 9 * time.Second, Share: 0.5},
		{Kind: simulation.EventRestart, Start: 13 * time.Second, Share: 1},
	}},
	{name: "store away for some, others cut off, endpoints unlisted after its return", events: []simulation.Event{
		{Kind: simulation.EventOutage, Start: 5 * time.Second, Duration: 8 * time.Second, Share: 0.5},
		{Kind: simulation.EventPartition, Start: 5500 * time.Millisecond, Duration: 9 * time.Second, Share: 0.4},
		leaveOf(6*time.Second, 0, 0.2), closeOf(6500*time.Millisecond, 3*time.Second, 0.4, 6),
		{Kind: simulation.EventUnlist, Start: 13 * time.Second, Duration: 1800 * time.Millisecond, Share: 1},
	}},
	{name: "instances frozen twice", events: []simulation.Event{
		leaveOf(6*time.Second, 0, 0.2), closeOf(6*time.Second, 8*time.Second, 0.5, 4),
		{Kind: simulation.EventFreeze, Start: 7 * time.Second, Duration: 3 * time.Second, Share: 0.6},
		{Kind: simulation.EventFreeze, Start: 12 * time.Second, Duration: 2 * time.Second, Share: 1},
	}},
	{name: "instances stopped one after the other", events: []simulation.Event{
		limitOf(5*time.Second, 0.2, 4.4), leaveOf(6*time.Second, 0, 0.3), closeOf(7*time.Second, 5*time.Second, 0.5, 3),
		{Kind: simulation.EventStop, Start: 8 * time.Second, Duration: 2 * time.Second, Share: 0.4},
		{Kind: simulation.EventStop, Start: 11 * time.Second, Duration: 2 * time.Second, Share: 0.8},
	}},
	{name: "all at once under a burst", events: []simulation.Event{
		{Kind: simulation.EventBurst, Start: 5 * time.Second, Duration: 12 * time.Second, Factor: 1.8},
		{Kind: simulation.EventOutage, Start: 5 * time.Second, Duration: 10 * time.Second, Share: 1},
		limitOf(5*time.Second, 0.4, 4.4), closeOf(6*time.Second, 5*time.Second, 0.6, 3), leaveOf(7*time.Second, 0, 0.3),
		{Kind: simulation.EventFail, Start: 7 * time.Second, Duration: 6 * time.Second, Share: 1, Factor: 0.3},
		{Kind: simulation.EventPartition, Start: 8 * time.Second, Duration: 4 * time.Second, Share: 0.4},
		{Kind: simulation.EventStop, Start: 9 * time.Second, Duration: 2 * time.Second, Share: 0.2},
		{Kind: simulation.EventFreeze, Start: 13 * time.Second, Duration: 2 * time.Second, Share: 0.3},
	}},
}

// TestAdmission guards against requests to endpoints that are excluded for several
// reasons at once, of which one ends before the others, and against instances that
// forget a reason when the store or other instances are away.
func TestAdmission(t *testing.T) {
	for _, test := range admissionCases {
		for _, size := range noticeFleetSizes {
			t.Run(fmt.Sprintf("%s/%d instances", test.name, size), func(t *testing.T) {
				t.Parallel()
				for seed := range min(3, seedCount()) {
					result := simulation.Run(rateLimitScenario(seed, size, test.events), simulation.DefaultPolicy())
					if result.LeavingTold == 0 || result.Closings == 0 {
						t.Errorf("seed %d: %d responses said that an endpoint leaves and %d that it is closed, want some of both", seed, result.LeavingTold, result.Closings)
					}
					if result.RequestsAfterLeaving > 0 || result.RequestsWhileClosed > 0 || result.RateLimitExcess > 0 {
						t.Errorf("seed %d: %d requests at leaving endpoints, %d beyond the bound at closed ones, %.1f beyond a rate limit, want none",
							seed, result.RequestsAfterLeaving, result.RequestsWhileClosed, result.RateLimitExcess)
					}
				}
			})
		}
	}
}

// TestAdmissionCanFail shows that TestAdmission can fail: instances that do not read the
// notices of endpoints break both rules in each series of events.
func TestAdmissionCanFail(t *testing.T) {
	policy := simulation.DefaultPolicy()
	policy.IgnoresNotices = true
	for _, test := range admissionCases {
		leaving, closed := 0, 0
		for _, size := range noticeFleetSizes {
			result := simulation.Run(rateLimitScenario(1, size, test.events), policy)
			leaving += result.RequestsAfterLeaving
			closed += result.RequestsWhileClosed
		}
		t.Logf("%s, instances that ignore notices: %d requests at leaving endpoints, %d beyond the bound at closed ones", test.name, leaving, closed)
		if leaving == 0 || closed == 0 {
			t.Errorf("%s: %d requests at leaving endpoints and %d beyond the bound at closed ones although instances ignore notices, want some", test.name, leaving, closed)
		}
	}
}
