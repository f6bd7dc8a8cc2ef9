package store_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

const testBudget = savorystep.BudgetName("region/status/natal")

// eventually waits up to 10 s for a condition and fails the test if it does not
// become true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after 10 s: %s", what)
}

// startBudgets starts Budgets and returns a function that stops them.
func startBudgets(t *testing.T, config store.BudgetsConfig) (*store.Budgets, func()) {
	t.Helper()
	budgets := store.NewBudgets(config)
	ctx, cancel := context.WithCancel(t.Context())
	done := budgets.Start(ctx)
	stop := func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Budgets stopped with error %v, want context.Canceled", err)
		}
	}
	return budgets, stop
}

// TestBudgetsShareAndReturn guards against instances that together use more
// units than the cap, and against units that stay reserved after a graceful
// stop.
func TestBudgetsShareAndReturn(t *testing.T) {
	table := standin.NewTable()
	const limit = 40
	ids := []savorystep.InstanceID{"a", "b", "c"}
	stops := make([]func(), 0, len(ids))
	instances := make([]*store.Budgets, 0, len(ids))
	for _, id := range ids {
		config := store.BudgetsConfig{Table: table, RoundPeriod: 10 * time.Millisecond}
		config.Self = id
		config.GrantLifetime = 3 * time.Second
		budgets, stop := startBudgets(t, config)
		instances, stops = append(instances, budgets), append(stops, stop)
	}
	var permits []savorystep.Permit
	eventually(t, "the cap is in use", func() bool {
		for _, budgets := range instances {
			permit, err := budgets.Acquire(time.Now(), testBudget, limit)
			if err == nil {
				permits = append(permits, permit)
			} else if savorystep.KindOf(err) != savorystep.KindCapReached {
				t.Fatal(err)
			}
		}
		return len(permits) >= limit-4
	})
	for range 100 {
		for _, budgets := range instances {
			if permit, err := budgets.Acquire(time.Now(), testBudget, limit); err == nil {
				permits = append(permits, permit)
			}
		}
	}
	if len(permits) > limit {
		t.Errorf("%d units in use, want at most the cap of %d", len(permits), limit)
	}
	for _, permit := range permits {
		permit.Release()
		permit.Release()
	}
	for _, stop := range stops {
		stop()
	}
	row, err := table.Get(t.Context(), "budget/"+savorystep.RowKey(testBudget))
	if err != nil || string(row.Value) != `{"cap":40}` {
		t.Errorf("row after the stop = %s, %v, want only the cap of 40", row.Value, err)
	}
}

// TestBudgetsConcurrent guards against units that are lost or used twice
// because of races between callers and the worker, and against a Release that
// counts twice.
func TestBudgetsConcurrent(t *testing.T) {
	const limit, callers = 30, 16
	table := standin.NewTable()
	config := store.BudgetsConfig{Table: table, RoundPeriod: time.Millisecond}
	config.Self = "a"
	config.GrantLifetime = 300 * time.Millisecond
	budgets, stop := startBudgets(t, config)
	var inUse, maxInUse, admitted atomic.Int64
	var group sync.WaitGroup
	deadline := time.Now().Add(time.Second)
	for range callers {
		group.Go(func() {
			for time.Now().Before(deadline) {
				var permits []savorystep.Permit
				for range 4 {
					permit, err := budgets.Acquire(time.Now(), testBudget, limit)
					if err != nil {
						break
					}
					now := inUse.Add(1)
					for old := maxInUse.Load(); now > old && !maxInUse.CompareAndSwap(old, now); old = maxInUse.Load() {
					}
					admitted.Add(1)
					permits = append(permits, permit)
				}
				time.Sleep(100 * time.Microsecond)
				for _, permit := range permits {
					inUse.Add(-1)
					permit.Release()
					permit.Release()
				}
			}
		})
	}
	group.Wait()
	stop()
	if maxInUse.Load() > limit || admitted.Load() == 0 {
		t.Errorf("at most %d units in use at once, cap %d; %d units acquired, want some", maxInUse.Load(), limit, admitted.Load())
	}
	row, err := table.Get(t.Context(), "budget/"+savorystep.RowKey(testBudget))
	if err != nil || string(row.Value) != `{"cap":30}` {
		t.Errorf("row after the stop = %s, %v, want only the cap of 30", row.Value, err)
	}
}
