package store

import (
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
)

// TestBudgetsRestored guards against more units in use than the cap after a restore
// that lost the rows, also at an instance that starts after it, against a budget that
// stays refused, and against an instance with floor slots only that makes no calls
// and does not notice the restore.
func TestBudgetsRestored(t *testing.T) {
	const name, limit = savorystep.BudgetName("region/status/natal"), 40
	for _, hidesEra := range []bool{false, true} {
		clock := &fakeClock{now: time.Now()}
		table := standin.NewTable()
		if hidesEra {
			table.HideEra()
		}
		instances := newLoadedInstances(4, table, clock)
		for _, instance := range instances {
			instance.budgets.config.Era = func() (savorystep.StoreEra, time.Time) { return table.Era(), clock.Now() }
		}
		starting, instances := instances[3], instances[:3]
		run := func(seconds int, targets ...int) (most int) {
			for range seconds * 4 {
				clock.advance(250 * time.Millisecond)
				units := 0
				for i, instance := range instances {
					instance.budgets.worker.round(t.Context(), false)
					instance.adjustTo(clock.Now(), name, limit, targets[i])
					units += len(instance.permits[name])
				}
				most = max(most, units)
			}
			return most
		}
		run(30, 10, 10, 1)
		run(60, 10, 10, 0) // The last instance has floor slots only.
		table.Restore(0)
		instances = append(instances, starting)
		most := run(150, 40, 10, 0, 40)
		most = max(most, run(60, 0, 0, 40, 40))
		if isPassed := most > limit; isPassed != hidesEra {
			t.Errorf("table that hides its era %t: up to %d units in use, cap %d", hidesEra, most, limit)
		}
		if last := run(60, 40, 40, 40, 40); !hidesEra && last < limit-4 {
			t.Errorf("%d units in use after the restore, want most of the cap of %d", last, limit)
		}
	}
}

// TestBudgetsStartAfterRestore guards against an instance that starts long after a
// restore and waits for the end of its own restore window.
func TestBudgetsStartAfterRestore(t *testing.T) {
	const name, limit = savorystep.BudgetName("region/status/natal"), 40
	clock := &fakeClock{now: time.Now()}
	table := standin.NewTable()
	instances := newLoadedInstances(2, table, clock)
	run := func(instance *loadedInstance, seconds int) int {
		for range seconds * 4 {
			clock.advance(250 * time.Millisecond)
			instance.budgets.worker.round(t.Context(), false)
			instance.adjustTo(clock.Now(), name, limit, 20)
		}
		return len(instance.permits[name])
	}
	run(instances[0], 10)
	table.Restore(0)
	run(instances[0], 150)
	if units := run(instances[1], 5); units < 10 {
		t.Errorf("%d units in use 5 s after the start, want the other half of the cap of %d", units, limit)
	}
}
