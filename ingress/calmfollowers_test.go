package ingress_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
)

// TestCalmFollowersStay guards against followers that leave a reader which the store
// serves, since they take its picture for older than it is, while the configuration
// changes now and then.
func TestCalmFollowersStay(t *testing.T) {
	muteLog(t)
	const (
		watched = 20 * time.Second
		regions = 3
	)
	for i, interval := range []time.Duration{350 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond, 2100 * time.Millisecond, 5 * time.Second, 1450 * time.Millisecond, 1900 * time.Millisecond} {
		latency := time.Duration(i%2) * 70 * time.Millisecond
		t.Run(fmt.Sprint(interval, latency), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet := newHomeFleet(ctx, homeFleetConfig{regions: []savorystep.Region{"north", "south", "west"}, perRegion: 6, startInterval: 210 * time.Millisecond})
				fleet.store.update(func() { fleet.store.responseLatency = latency })
				time.Sleep(5 * time.Second)
				before := fleet.countCalls()
				for started := time.Now(); time.Since(started) < watched; time.Sleep(interval) {
					fleet.store.changeConfiguration(time.Now())
				}
				after := fleet.countCalls()
				callers := 0
				for id, count := range after.storeCallsBy {
					if count > before.storeCallsBy[id] {
						callers++
					}
				}
				t.Logf("%d instances call the store, %.1f times a second", callers, float64(after.storeCalls-before.storeCalls)/watched.Seconds())
				if callers != regions {
					t.Errorf("%d instances call the store, want one for each of %d regions", callers, regions)
				}
				if len(after.relayedCalls) > 0 {
					t.Errorf("queries for relayed pictures: %v, want none", after.relayedCalls)
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
