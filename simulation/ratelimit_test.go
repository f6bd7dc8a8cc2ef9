package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"savorystep/simulation"
)

// limitOf returns an event by which a share of the endpoints state a rate limit from
// a time on, until they state another one.
func limitOf(start time.Duration, share, rate float64) simulation.Event {
	return simulation.Event{Kind: simulation.EventRateLimit, Start: start, Share: share, Factor: rate}
}

// twoLimits are the rate limits of two of 14 endpoints, at a third of the requests
// that they get otherwise.
func twoLimits() simulation.Event { return limitOf(6*time.Second, 0.14, 4.4) }

// rateLimitCases are series of events under which the sum of the requests of all
// instances must stay within the rate limits of endpoints.
var rateLimitCases = []struct {
	name   string
	events []simulation.Event
}{
	{name: "two endpoints limited", events: []simulation.Event{twoLimits()}},
	{name: "all endpoints limited", events: []simulation.Event{limitOf(6*time.Second, 1, 4.4)}},
	{name: "limit falls, rises and ends", events: []simulation.Event{
		limitOf(5*time.Second, 0.14, 8), limitOf(10*time.Second, 0.14, 2.5), limitOf(15*time.Second, 0.14, 6),
		{Kind: simulation.EventRateLimit, Start: 20 * time.Second, Duration: time.Second, Share: 0.14, Factor: 6},
	}},
	{name: "limits of zero and of less than one request in a window", events: []simulation.Event{
		limitOf(6*time.Second, 0.07, 0), limitOf(6*time.Second, 0.14, 0.1),
	}},
	{name: "limit ends and begins again", events: []simulation.Event{
		{Kind: simulation.EventRateLimit, Start: 6 * time.Second, Duration: 2 * time.Second, Share: 0.14, Factor: 4.4},
		{Kind: simulation.EventRateLimit, Start: 9 * time.Second, Duration: 5 * time.Second, Share: 0.14, Factor: 4.4},
		limitOf(15*time.Second, 0.14, 4.4),
	}},
	{name: "half of the instances restarted twice, all once", events: []simulation.Event{
		twoLimits(),
		{Kind: simulation.EventRestart, Start: 10 * time.Second, Share: 0.5},
		{Kind: simulation.EventRestart, Start: 11 * time.Second, Share: 0.5},
		{Kind: simulation.EventRestart, Start: 17 * time.Second, Share: 1},
	}},
	{name: "instances frozen", events: []simulation.Event{
		twoLimits(),
		{Kind: simulation.EventFreeze, Start: 8 * time.Second, Duration: 3 * time.Second, Share: 0.3},
		{Kind: simulation.EventFreeze, Start: 14 * time.Second, Duration: 5 * time.Second, Share: 0.6},
	}},
	{name: "instances partitioned before and after the limit", events: []simulation.Event{
		{Kind: simulation.EventPartition, Start: 5 * time.Second, Duration: 8 * time.Second, Share: 0.4},
		twoLimits(),
		{Kind: simulation.EventPartition, Start: 15 * time.Second, Duration: 8 * time.Second, Share: 1},
	}},
	{name: "endpoints cold, others leave, load rises", events: []simulation.Event{
		twoLimits(),
		{Kind: simulation.EventCold, Start: 8 * time.Second, Share: 0.5},
		{Kind: simulation.EventDrain, Start: 12 * time.Second, Duration: 3 * time.Second, Share: 0.07},
		{Kind: simulation.EventBurst, Start: 13 * time.Second, Duration: 8 * time.Second, Factor: 1.8},
	}},
	{name: "endpoints fail and retries follow", events: []simulation.Event{
		twoLimits(),
		{Kind: simulation.EventFail, Start: 7 * time.Second, Duration: 12 * time.Second, Share: 1, Factor: 0.3},
	}},
	{name: "endpoints are not listed for a while", events: []simulation.Event{
		twoLimits(),
		{Kind: simulation.EventUnlist, Start: 11 * time.Second, Duration: 2 * time.Second, Share: 1},
		{Kind: simulation.EventUnlist, Start: 18 * time.Second, Duration: 3 * time.Second, Share: 0.14},
	}},
}

// rateLimitFleetSizes are the numbers of instances that share a rate limit.
var rateLimitFleetSizes = []int{1, 8, 83, 295}

// rateLimitScenario returns siteScenario for a number of instances and a series of
// events. Callers offer each endpoint 11 requests a second on average.
func rateLimitScenario(seed uint64, instances int, events []simulation.Event) simulation.Scenario {
	scenario := siteScenario(seed)
	scenario.Instances, scenario.Events = instances, events
	return scenario
}

// rateLimitSeeds returns the number of seeds for a number of instances. A run with
// 295 instances takes as long as ten with 8.
func rateLimitSeeds(instances int) uint64 {
	if instances > 100 {
		return 1
	}
	return min(3, seedCount())
}

// TestEndpointRateLimit guards against instances that together send an endpoint more
// requests than the rate limit that it states allows, although each has been told.
func TestEndpointRateLimit(t *testing.T) {
	for _, test := range rateLimitCases {
		for _, size := range rateLimitFleetSizes {
			t.Run(fmt.Sprintf("%s/%d instances", test.name, size), func(t *testing.T) {
				t.Parallel()
				for seed := range rateLimitSeeds(size) {
					result := simulation.Run(rateLimitScenario(seed, size, test.events), simulation.DefaultPolicy())
					t.Logf("seed %d: %.1f requests in 4 s beyond the bound at most, in %d windows", seed, result.RateLimitExcess, result.RateLimitWindows)
					if result.RateLimitWindows == 0 {
						t.Errorf("seed %d: no window was checked", seed)
					}
					if result.RateLimitExcess > 0 {
						t.Errorf("seed %d: %.1f requests in 4 s beyond the bound of a rate limit", seed, result.RateLimitExcess)
					}
				}
			})
		}
	}
}

// TestEndpointRateLimitSparesOthers guards against requests turned away by a rate
// limit that overload the endpoints without one.
func TestEndpointRateLimitSparesOthers(t *testing.T) {
	for seed := range min(4, seedCount()) {
		result := simulation.Run(rateLimitScenario(seed, 8, []simulation.Event{twoLimits()}), simulation.DefaultPolicy())
		if result.Sheds > 0 {
			t.Errorf("seed %d: endpoints without a rate limit shed %d requests, want 0", seed, result.Sheds)
		}
		if share := result.Share(result.Refused + result.Failed); share > 0.01 {
			t.Errorf("seed %d: %.3f of the requests were refused or failed, want at most 0.01", seed, share)
		}
	}
}

// TestRateLimitsAtOnce guards against endpoints that get what all others turn away, in
// the moment before the instances know that they state a rate limit, too.
func TestRateLimitsAtOnce(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		scenario := rateLimitScenario(seed, 8, []simulation.Event{limitOf(6*time.Second, 1, 4.4)})
		scenario.Duration = 14 * time.Second
		if result := simulation.Run(scenario, simulation.DefaultPolicy()); result.RateLimitExcess > 0 {
			t.Errorf("seed %d: %.1f requests in 4 s beyond the bound of a rate limit", seed, result.RateLimitExcess)
		}
	}
}

// TestEndpointRateLimitCanFail shows that TestEndpointRateLimit can fail: instances
// that each heed the limit alone exceed it together.
func TestEndpointRateLimitCanFail(t *testing.T) {
	policy := simulation.DefaultPolicy()
	policy.IgnoresPeers = true
	for _, size := range []int{8, 83} {
		result := simulation.Run(rateLimitScenario(1, size, []simulation.Event{twoLimits()}), policy)
		if result.RateLimitExcess <= 0 {
			t.Errorf("%d instances that ignore each other: %.1f requests in 4 s beyond the bound, want more than 0", size, result.RateLimitExcess)
		}
	}
}
