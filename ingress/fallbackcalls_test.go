package ingress_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
)

// TestFallbackCalls guards against queries for relayed pictures in a fleet that the
// store serves, and against instances that send so many of them to one instance that it
// serves more of them than a reader serves queries of its followers.
func TestFallbackCalls(t *testing.T) {
	muteLog(t)
	const (
		watched   = 20 * time.Second
		perRegion = 27
		// readerQueries is how often the followers of a reader wait for changes of the
		// configuration, for 1.5 s each.
		readerQueries = int(watched/(1500*time.Millisecond)) * (perRegion - 1)
	)
	cases := []struct {
		name     string
		scenario turnedAwayScenario
		wantNone bool
	}{
		{name: "calm", wantNone: true},
		{name: "third of the fleet", scenario: turnedAwayScenario{cut: "readers", also: perRegion - 2, access: []storeAccess{accessRejected}}},
		{name: "third of the fleet, mixed", scenario: turnedAwayScenario{cut: "readers", also: perRegion - 2, access: []storeAccess{accessRejected, accessSilent}}},
		{name: "region", scenario: turnedAwayScenario{cut: "region", access: []storeAccess{accessRejected}}},
		{name: "fleet", scenario: turnedAwayScenario{cut: "region", also: 2 * perRegion, access: []storeAccess{accessRejected}}},
		{name: "fleet, silent", scenario: turnedAwayScenario{cut: "region", also: 2 * perRegion, access: []storeAccess{accessSilent}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.scenario.fleet = homeFleetConfig{regions: []savorystep.Region{"north", "south", "west"}, perRegion: perRegion, startInterval: 50 * time.Millisecond}
				ctx, cancel := context.WithCancel(t.Context())
				fleet := newHomeFleet(ctx, c.scenario.fleet)
				time.Sleep(5 * time.Second)
				if c.scenario.cut != "" {
					for i, id := range c.scenario.notServed(fleet) {
						fleet.setAccess(c.scenario.access[i%len(c.scenario.access)], []savorystep.InstanceID{id})
					}
				}
				time.Sleep(3 * time.Second)
				before := fleet.countCalls()
				time.Sleep(watched)
				after := fleet.countCalls()
				total, most, relayed := 0, 0, 0
				for id, count := range after.calls {
					total += count - before.calls[id]
					most = max(most, count-before.calls[id])
				}
				for id, count := range after.relayedCalls {
					relayed = max(relayed, count-before.relayedCalls[id])
				}
				perSecond := func(count int) float64 { return float64(count) / watched.Seconds() }
				t.Logf("%.1f calls/s between instances, at most %.1f/s to one, of them %.1f/s for relayed pictures; %.1f/s to the store", perSecond(total), perSecond(most), perSecond(relayed), perSecond(after.storeCalls-before.storeCalls))
				limit := readerQueries
				if c.wantNone {
					limit = 0
				}
				if relayed > limit {
					t.Errorf("an instance gets %d queries for relayed pictures in %v, want at most %d", relayed, watched, limit)
				}
				cancel()
				for _, instance := range fleet.instances {
					if err := <-instance.done; err != nil {
						t.Error(err)
					}
				}
			})
		})
	}
}
