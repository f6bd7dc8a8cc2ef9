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

// eventually fails the test if a condition does not come true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out: %s", what)
}

// startBudgets runs Budgets until the returned function stops them.
func startBudgets(t *testing.T, config store.BudgetsConfig) (*store.Budgets, func()) {
	t.Helper()
	budgets := store.NewBudgets(config)
	ctx, cancel := context.WithCancel(t.Context())
	done := budgets.Start(ctx)
	stop := func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Budgets ended with %v", err)
		}
	}
	return budgets, stop
}

// TestBudgetsShareAndReturn guards against units that two instances use at the
// same time, and against units that a graceful stop leaves behind.
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
	var holds []savorystep.Permit
	eventually(t, "the cap is in use", func() bool {
		for _, budgets := range instances {
			hold, err := budgets.Acquire(time.Now(), testBudget, limit)
			if err == nil {
				holds = append(holds, hold)
			} else if savorystep.KindOf(err) != savorystep.KindCapReached {
				t.Fatal(err)
			}
		}
		return len(holds) >= limit-4
	})
	for range 100 {
		for _, budgets := range instances {
			if hold, err := budgets.Acquire(time.Now(), testBudget, limit); err == nil {
				holds = append(holds, hold)
			}
		}
	}
	if len(holds) > limit {
		t.Errorf("%d units in use, cap %d", len(holds), limit)
	}
	for _, hold := range holds {
		hold.Release()
		hold.Release()
	}
	for _, stop := range stops {
		stop()
	}
	row, err := table.Get(t.Context(), "budget/"+savorystep.RowKey(testBudget))
	if err != nil || string(row.Value) != `{"cap":40}` {
		t.Errorf("row after the stop = %s, %v", row.Value, err)
	}
}

// TestBudgetsConcurrent guards against units that are lost or used twice when
// callers and the worker race, and against a Release that counts twice.
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
				var holds []savorystep.Permit
				for range 4 {
					hold, err := budgets.Acquire(time.Now(), testBudget, limit)
					if err != nil {
						break
					}
					now := inUse.Add(1)
					for old := maxInUse.Load(); now > old && !maxInUse.CompareAndSwap(old, now); old = maxInUse.Load() {
					}
					admitted.Add(1)
					holds = append(holds, hold)
				}
				time.Sleep(100 * time.Microsecond)
				for _, hold := range holds {
					inUse.Add(-1)
					hold.Release()
					hold.Release()
				}
			}
		})
	}
	group.Wait()
	stop()
	if maxInUse.Load() > limit || admitted.Load() == 0 {
		t.Errorf("%d units in use at once, cap %d, %d admitted", maxInUse.Load(), limit, admitted.Load())
	}
	row, err := table.Get(t.Context(), "budget/"+savorystep.RowKey(testBudget))
	if err != nil || string(row.Value) != `{"cap":30}` {
		t.Errorf("row after the stop = %s, %v", row.Value, err)
	}
}
