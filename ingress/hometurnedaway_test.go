package ingress_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/zeebo/xxh3"

	"savorystep"
)

// TestHomeWhileTurnedAway guards against requests that run outside the homes of their
// route at an instance that neither the store nor the readers of its region serve,
// although other instances read the store.
func TestHomeWhileTurnedAway(t *testing.T) {
	muteLog(t)
	datadriven.RunTest(t, "testdata/hometurnedaway", func(t *testing.T, d *datadriven.TestData) string {
		scenario := newTurnedAwayScenario(t, d)
		violations, runs := 0, 0
		var worst time.Duration
		for phase := time.Duration(0); phase < 1600*time.Millisecond; phase += scenario.step {
			for _, delay := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 2500 * time.Millisecond} {
				runs++
				if late := scenario.run(t, phase, delay); late > 0 {
					violations++
					worst = max(worst, late)
				}
			}
		}
		if violations == 0 {
			return "ok\n"
		}
		return fmt.Sprintf("%d of %d runs: requests outside their home up to %v after a change\n", violations, runs, worst)
	})
}

// A turnedAwayScenario is a change of the configuration while the store does not serve
// some of the instances of a fleet.
type turnedAwayScenario struct {
	fleet homeFleetConfig
	// cut is "readers" if the readers of the first region are not served, and "region"
	// if none of its instances is.
	cut string
	// also is the number of further instances that are not served.
	also int
	// access is how the store treats the instances that are not served, in turn.
	access []storeAccess
	limit  time.Duration
	// step is the interval of the phases at which the store begins to do so.
	step time.Duration
}

// newTurnedAwayScenario returns the scenario that a directive describes.
func newTurnedAwayScenario(t *testing.T, d *datadriven.TestData) turnedAwayScenario {
	t.Helper()
	var s turnedAwayScenario
	var regions int
	var access, limit string
	d.ScanArgs(t, "regions", &regions)
	d.ScanArgs(t, "instances", &s.fleet.perRegion)
	d.ScanArgs(t, "cut", &s.cut)
	d.ScanArgs(t, "also", &s.also)
	d.ScanArgs(t, "access", &access)
	d.ScanArgs(t, "limit", &limit)
	s.fleet.regions = []savorystep.Region{"north", "south", "west"}[:regions]
	for word := range strings.SplitSeq(access, "+") {
		s.access = append(s.access, storeAccess(word))
	}
	s.fleet.hasOlder = d.HasArg("older")
	var err error
	if s.limit, err = time.ParseDuration(limit); err != nil {
		t.Fatal(err)
	}
	s.step, s.fleet.startInterval = 100*time.Millisecond, 370*time.Millisecond
	if regions*s.fleet.perRegion > 12 {
		s.step, s.fleet.startInterval = 400*time.Millisecond, 50*time.Millisecond
	}
	if testing.Short() {
		s.step *= 4
	}
	return s
}

// notServed returns the instances that the store does not serve.
func (s *turnedAwayScenario) notServed(fleet *homeFleet) []savorystep.InstanceID {
	var first, others []savorystep.InstanceID
	for _, instance := range fleet.instances {
		if instance.Place.Region == s.fleet.regions[0] {
			first = append(first, instance.ID)
		} else {
			others = append(others, instance.ID)
		}
	}
	slices.SortFunc(first, func(a, b savorystep.InstanceID) int {
		return cmp.Compare(xxh3.HashString(string(a)), xxh3.HashString(string(b)))
	})
	if s.cut == "region" {
		return append(first, others[:s.also]...)
	}
	ids, others := first[:2], append(first[2:], others...)
	for i := range s.also {
		ids = append(ids[:len(ids):len(ids)], others[i*len(others)/s.also])
	}
	return ids
}

// run plays the scenario in virtual time: from phase on, the store does not serve some
// of the instances, and after a further delay the configuration changes. It returns the
// greatest time after the change at which a request ran outside its home, zero if none
// did.
func (s *turnedAwayScenario) run(t *testing.T, phase, delay time.Duration) (late time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newHomeFleet(ctx, s.fleet)
		time.Sleep(5*time.Second + phase)
		for i, id := range s.notServed(fleet) {
			fleet.setAccess(s.access[i%len(s.access)], []savorystep.InstanceID{id})
		}
		time.Sleep(delay)
		changedAt := time.Now()
		fleet.store.changeConfiguration(changedAt)
		for time.Since(changedAt) < homeFaultLength {
			for _, instance := range fleet.instances {
				if fleet.isGone(instance.ID) {
					continue
				}
				region, ran := instance.regionOf(ctx)
				if !ran {
					t.Errorf("instance %s did not serve a request %v after the change", instance.ID, time.Since(changedAt))
				}
				if !fleet.store.isAllowed(time.Now(), region, s.limit) {
					late = max(late, time.Since(changedAt))
				}
			}
			time.Sleep(homeProbeInterval)
		}
		cancel()
		for _, instance := range fleet.instances {
			if err := <-instance.done; err != nil {
				t.Errorf("watcher of instance %s: %v", instance.ID, err)
			}
		}
	})
	return late
}
