package simulation_test

import (
	"testing"
	"time"

	"savorystep/simulation"
)

// comparePolicies runs a scenario with two policies over all seeds and adds up the
// results of each.
func comparePolicies(t *testing.T, build func(seed uint64) simulation.Scenario, first, second simulation.Policy) (a, b *simulation.Result) {
	t.Helper()
	a, b = simulation.Run(build(0), first), simulation.Run(build(0), second)
	for seed := uint64(1); seed < seeds; seed++ {
		a.Add(simulation.Run(build(seed), first))
		b.Add(simulation.Run(build(seed), second))
	}
	for _, r := range []*simulation.Result{a, b} {
		t.Logf("in target %.3f, late %.3f, refused %.3f, failed %.3f, wasted work %v", r.Share(r.InTarget), r.Share(r.Late), r.Share(r.Refused), r.Share(r.Failed), r.Wasted)
	}
	return a, b
}

// TestRefusingLateRequests guards against work on requests whose callers have given
// up, which takes the slots of requests that can still be answered. As in incident
// inc-9011, the deadline leaves time for about one wait and one run, while half of
// the endpoints are down.
func TestRefusingLateRequests(t *testing.T) {
	build := func(seed uint64) simulation.Scenario {
		scenario := siteScenario(seed)
		scenario.Deadline = 1200 * time.Millisecond
		scenario.Events = []simulation.Event{
			{Kind: simulation.EventDown, Start: 6 * time.Second, Duration: 8 * time.Second, Share: 0.5},
			{Kind: simulation.EventBurst, Start: 8 * time.Second, Duration: 4 * time.Second, Factor: 1.5},
		}
		return scenario
	}
	patient := simulation.DefaultPolicy()
	patient.RefusesLateRequests = false
	refusing, sending := comparePolicies(t, build, simulation.DefaultPolicy(), patient)
	if refusing.Wasted >= sending.Wasted {
		t.Errorf("wasted work %v, want less than the %v if late requests are sent", refusing.Wasted, sending.Wasted)
	}
	if refusing.InTarget < sending.InTarget {
		t.Errorf("%d requests answered in target, want at least the %d if late requests are sent", refusing.InTarget, sending.InTarget)
	}
}

// TestAffinity guards against traffic that lands on cold caches. Requests for an
// object must go to endpoints that have it cached, so that more of them are answered
// in target than without affinity.
func TestAffinity(t *testing.T) {
	scattered := simulation.DefaultPolicy()
	scattered.Affinity = false
	affine, random := comparePolicies(t, siteScenario, simulation.DefaultPolicy(), scattered)
	if affine.InTarget <= random.InTarget {
		t.Errorf("%d requests answered in target, want more than the %d without affinity", affine.InTarget, random.InTarget)
	}
}

// TestSlowEndpointsAreAvoided guards against requests that stay at endpoints which
// become four times slower for a while: their objects must move to their second
// affinity endpoints.
func TestSlowEndpointsAreAvoided(t *testing.T) {
	slow := func(seed uint64) simulation.Scenario {
		scenario := siteScenario(seed)
		scenario.Rate = 100
		scenario.Events = []simulation.Event{{Kind: simulation.EventSlow, Start: 6 * time.Second, Duration: 10 * time.Second, Share: 0.15, Factor: 4}}
		return scenario
	}
	for seed := range seedCount() {
		result := simulation.Run(slow(seed), simulation.DefaultPolicy())
		// 15% of the endpoints are slow for 10 of 24 s, which would make 6% of the
		// requests late if no instance avoided them.
		if late := result.Share(result.Late + result.Failed + result.Refused); late > 0.15 {
			t.Errorf("seed %d: %.3f of the requests were not answered in target, want at most 0.15", seed, late)
		}
	}
}
