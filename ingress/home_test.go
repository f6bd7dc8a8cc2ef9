package ingress_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"k8s.io/klog/v2"

	"savorystep"
)

const (
	// homeFaultLength is how long the store does not serve some instances.
	homeFaultLength = 6 * time.Second
	// homeProbeInterval is the interval of the requests to each instance.
	homeProbeInterval = 100 * time.Millisecond
)

// TestHomeWhileReadersLackStore guards against requests that run outside the homes
// of their route at an instance that reaches the store, because it follows a reader
// that does not.
func TestHomeWhileReadersLackStore(t *testing.T) {
	runHomeScenarios(t, "testdata/home")
}

// TestHomeWhileReadersLosePower guards against the same at followers of a reader
// that first loses the store and then power, so that it does not say any more how
// old its picture is.
func TestHomeWhileReadersLosePower(t *testing.T) {
	runHomeScenarios(t, "testdata/homepower")
}

// muteLog discards the log lines until the test ends.
func muteLog(t *testing.T) {
	t.Helper()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	t.Cleanup(func() { klog.LogToStderr(true) })
}

// runHomeScenarios runs the scenarios of a file.
func runHomeScenarios(t *testing.T, path string) {
	t.Helper()
	muteLog(t)
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		var scenario homeScenario
		var access, limit string
		d.ScanArgs(t, "instances", &scenario.instances)
		d.ScanArgs(t, "faulty", &scenario.faulty)
		d.ScanArgs(t, "access", &access)
		d.ScanArgs(t, "limit", &limit)
		scenario.access = storeAccess(access)
		var err error
		if d.HasArg("gone-after") {
			var goneAfter string
			d.ScanArgs(t, "gone-after", &goneAfter)
			if scenario.goneAfter, err = time.ParseDuration(goneAfter); err != nil {
				t.Fatal(err)
			}
		}
		if scenario.limit, err = time.ParseDuration(limit); err != nil {
			t.Fatal(err)
		}
		step := 100 * time.Millisecond
		if testing.Short() {
			step *= 4
		}
		violations, runs := 0, 0
		var worst time.Duration
		for first := range scenario.instances {
			for phase := time.Duration(0); phase < 1600*time.Millisecond; phase += step {
				for _, delay := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
					runs++
					if late := scenario.run(t, first, phase, delay); late > 0 {
						violations++
						worst = max(worst, late)
					}
				}
			}
		}
		if violations == 0 {
			return "ok\n"
		}
		return fmt.Sprintf("%d of %d runs: requests outside their home up to %v after a change\n", violations, runs, worst)
	})
}

// A homeScenario is a change of the configuration while the store does not serve
// some of the instances.
type homeScenario struct {
	instances, faulty int
	access            storeAccess
	// goneAfter is the time from the change to when the faulty instances lose power,
	// zero if they do not.
	goneAfter time.Duration
	// limit is the time in which a change must be in force.
	limit time.Duration
}

// run plays the scenario in virtual time: from phase on, the store does not serve
// the instances from the given first one on, and after a further delay the
// configuration changes. It returns the greatest time after the change at which a
// request outside its home ran at an instance that the store serves, zero if there
// is none.
func (s homeScenario) run(t *testing.T, first int, phase, delay time.Duration) (late time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := newHomeFleet(ctx, homeFleetConfig{regions: []savorystep.Region{"north"}, perRegion: s.instances, startInterval: 370 * time.Millisecond})
		time.Sleep(5*time.Second + phase)
		isFaulty := make(map[savorystep.InstanceID]bool)
		var ids []savorystep.InstanceID
		for i := range s.faulty {
			id := fleet.instances[(first+i)%s.instances].ID
			isFaulty[id] = true
			ids = append(ids, id)
		}
		fleet.setAccess(s.access, ids)
		time.Sleep(delay)
		changedAt := time.Now()
		fleet.store.changeConfiguration(changedAt)
		if s.goneAfter > 0 {
			time.AfterFunc(s.goneAfter, func() { fleet.setAccess(accessGone, ids) })
		}
		for time.Since(changedAt) < homeFaultLength {
			for _, instance := range fleet.instances {
				if isFaulty[instance.ID] {
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
