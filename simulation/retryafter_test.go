package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"savorystep/simulation"
)

// closeOf returns an event by which a share of the endpoints reject all requests for a
// time and want none for a number of seconds.
func closeOf(start, duration time.Duration, share, seconds float64) simulation.Event {
	return simulation.Event{Kind: simulation.EventClose, Start: start, Duration: duration, Share: share, Factor: seconds}
}

// closeCases are series of events under which endpoints that want no requests from an
// instance for a time must get none. None has a freeze, which delays the response that
// says so.
var closeCases = []struct {
	name   string
	events []simulation.Event
}{
	{name: "three endpoints", events: []simulation.Event{closeOf(6*time.Second, 4*time.Second, 0.2, 3)}},
	{name: "most endpoints", events: []simulation.Event{closeOf(6*time.Second, 4*time.Second, 0.8, 2.5)}},
	{name: "all endpoints", events: []simulation.Event{closeOf(6*time.Second, 4*time.Second, 1, 1.5)}},
	{name: "short and long times", events: []simulation.Event{
		closeOf(5*time.Second, time.Second, 0.3, 0.2), closeOf(8*time.Second, 2*time.Second, 0.3, 1.2), closeOf(12*time.Second, time.Second, 0.3, 8),
	}},
	{name: "closed, limited, cold and leaving", events: []simulation.Event{
		limitOf(5*time.Second, 0.3, 4.4), closeOf(6*time.Second, 3*time.Second, 0.4, 3), leaveOf(7*time.Second, 0, 0.2),
		{Kind: simulation.EventCold, Start: 8 * time.Second, Share: 0.5},
	}},
	{name: "not listed for a while", events: []simulation.Event{
		closeOf(6*time.Second, 2*time.Second, 0.3, 6),
		{Kind: simulation.EventUnlist, Start: 7 * time.Second, Duration: time.Second, Share: 1},
	}},
	{name: "instances restarted under a burst", events: []simulation.Event{
		closeOf(6*time.Second, 5*time.Second, 0.4, 3),
		{Kind: simulation.EventRestart, Start: 8 * time.Second, Share: 0.5},
		{Kind: simulation.EventBurst, Start: 7 * time.Second, Duration: 8 * time.Second, Factor: 1.8},
	}},
}

// TestClosedEndpoints guards against requests to endpoints that have told the instance
// that they want none for a time, and against endpoints that stay unused after it.
func TestClosedEndpoints(t *testing.T) {
	for _, test := range closeCases {
		for _, size := range noticeFleetSizes {
			t.Run(fmt.Sprintf("%s/%d instances", test.name, size), func(t *testing.T) {
				t.Parallel()
				for seed := range min(3, seedCount()) {
					result := simulation.Run(rateLimitScenario(seed, size, test.events), simulation.DefaultPolicy())
					if result.Closings == 0 {
						t.Errorf("seed %d: no endpoint stated for how long it wants no requests", seed)
					}
					if result.RequestsWhileClosed > 0 {
						t.Errorf("seed %d: %d requests beyond the bound at endpoints that wanted none, want 0", seed, result.RequestsWhileClosed)
					}
				}
			})
		}
	}
}

// TestClosedEndpointsReturn guards against endpoints that get fewer requests for good
// after they wanted none: 8 s after the last end, nearly all requests must be answered
// in target again.
func TestClosedEndpointsReturn(t *testing.T) {
	for _, size := range noticeFleetSizes {
		scenario := rateLimitScenario(1, size, []simulation.Event{closeOf(6*time.Second, time.Second, 1, 1.5)})
		result := simulation.Run(scenario, simulation.DefaultPolicy())
		undisturbed := simulation.Run(rateLimitScenario(1, size, nil), simulation.DefaultPolicy())
		got, want := 0, 0
		for second := 18; second < 24; second++ {
			got += result.Seconds[second].InTarget
			want += undisturbed.Seconds[second].InTarget
		}
		t.Logf("%d instances: %d requests in target, %d in an undisturbed run", size, got, want)
		if float64(got) < 0.9*float64(want) {
			t.Errorf("%d instances: %d requests in target 9 s after the end, want at least 0.9 of the %d in an undisturbed run", size, got, want)
		}
	}
}

// TestClosedEndpointsCanFail shows that TestClosedEndpoints can fail: instances that do
// not read the notices of endpoints send them requests after the usual backoff.
func TestClosedEndpointsCanFail(t *testing.T) {
	policy := simulation.DefaultPolicy()
	policy.IgnoresNotices = true
	for _, test := range closeCases {
		total := 0
		for _, size := range noticeFleetSizes {
			result := simulation.Run(rateLimitScenario(1, size, test.events), policy)
			t.Logf("%s, %d instances that ignore notices: %d requests beyond the bound", test.name, size, result.RequestsWhileClosed)
			total += result.RequestsWhileClosed
		}
		if total == 0 {
			t.Errorf("%s: no request beyond the bound with any number of instances that ignore notices, want some", test.name)
		}
	}
}
