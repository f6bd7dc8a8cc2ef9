package simulation_test

import (
	"testing"
	"time"

	"savorystep/simulation"
)

// compare plays a scenario with two ways over all seeds and adds up the results.
func compare(t *testing.T, build func(seed uint64) simulation.Scenario, first, second simulation.Policy) (a, b *simulation.Result) {
	t.Helper()
	a, b = simulation.Run(build(0), first), simulation.Run(build(0), second)
	for seed := uint64(1); seed < seeds; seed++ {
		a.Add(simulation.Run(build(seed), first))
		b.Add(simulation.Run(build(seed), second))
	}
	for _, r := range []*simulation.Result{a, b} {
		t.Logf("in target %.3f late %.3f refused %.3f failed %.3f wasted %v", r.Share(r.InTarget), r.Share(r.Late), r.Share(r.Refused), r.Share(r.Failed), r.Wasted)
	}
	return a, b
}

// TestShortTimeoutAtFullLoad answers the pattern of incident inc-9011: the time
// that requests have is cut to about that of one wait and one run, while half
// of the endpoints are away. Work on requests whose callers have left must not
// take the slots of those that can still be answered.
func TestShortTimeoutAtFullLoad(t *testing.T) {
	build := func(seed uint64) simulation.Scenario {
		scenario := site(seed)
		scenario.Deadline = 1200 * time.Millisecond
		scenario.Events = []simulation.Event{
			{Kind: simulation.EventDown, Start: 6 * time.Second, Duration: 8 * time.Second, Share: 0.5},
			{Kind: simulation.EventBurst, Start: 8 * time.Second, Duration: 4 * time.Second, Factor: 1.5},
		}
		return scenario
	}
	patient := simulation.DefaultPolicy()
	patient.RefusesLateRequests = false
	refusing, waiting := compare(t, build, simulation.DefaultPolicy(), patient)
	if refusing.Wasted >= waiting.Wasted {
		t.Errorf("%v of work wasted, %v if late requests are sent", refusing.Wasted, waiting.Wasted)
	}
	if refusing.InTarget < waiting.InTarget {
		t.Errorf("%d answers in target, %d if late requests are sent", refusing.InTarget, waiting.InTarget)
	}
}

// TestObjectsKeepTheirHomes answers the pattern of the brief that big moves of
// traffic land on cold caches: requests for one object have to meet at endpoints
// that keep it.
func TestObjectsKeepTheirHomes(t *testing.T) {
	scattered := simulation.DefaultPolicy()
	scattered.Affinity = false
	homes, anywhere := compare(t, site, simulation.DefaultPolicy(), scattered)
	if homes.InTarget <= anywhere.InTarget {
		t.Errorf("%d answers in target, %d without homes", homes.InTarget, anywhere.InTarget)
	}
}

// TestSlowEndpointsAreLeft answers the pattern of endpoints that work four times
// slower for a while: their objects move to the second homes.
func TestSlowEndpointsAreLeft(t *testing.T) {
	slow := func(seed uint64) simulation.Scenario {
		scenario := site(seed)
		scenario.Rate = 100
		scenario.Events = []simulation.Event{{Kind: simulation.EventSlow, Start: 6 * time.Second, Duration: 10 * time.Second, Share: 0.15, Factor: 4}}
		return scenario
	}
	for seed := range seedCount() {
		result := simulation.Run(slow(seed), simulation.DefaultPolicy())
		// 15% of the endpoints are slow for 10 of 24 s, so that 6% of the requests
		// would be late if nobody learned of it.
		if late := result.Share(result.Late + result.Failed + result.Refused); late > 0.15 {
			t.Errorf("seed %d: %.3f of the requests were not answered in target", seed, late)
		}
	}
}
