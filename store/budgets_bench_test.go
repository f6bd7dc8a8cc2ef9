package store_test

import (
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// grantedBudgets returns Budgets that hold a large grant.
func newGrantedBudgets(b *testing.B) *store.Budgets {
	b.Helper()
	config := store.BudgetsConfig{Table: standin.NewTable(), RoundPeriod: 10 * time.Millisecond}
	config.Self = "a"
	budgets := store.NewBudgets(config)
	budgets.Start(b.Context())
	const limit = 1000
	var holds []savorystep.Permit
	for len(holds) < 100 {
		if hold, err := budgets.Acquire(time.Now(), testBudget, limit); err == nil {
			holds = append(holds, hold)
		} else {
			time.Sleep(time.Millisecond)
		}
	}
	for _, hold := range holds {
		hold.Release()
	}
	return budgets
}

// BenchmarkBudgetsAcquireRelease measures one Acquire, Valid and Release.
func BenchmarkBudgetsAcquireRelease(b *testing.B) {
	budgets := newGrantedBudgets(b)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		hold, err := budgets.Acquire(now, testBudget, 1000)
		if err != nil {
			b.Fatal(err)
		}
		if !hold.Valid(now) {
			b.Fatal("hold is not valid")
		}
		hold.Release()
	}
}

// BenchmarkBudgetsAcquireParallel measures the same from all cores on one
// budget.
func BenchmarkBudgetsAcquireParallel(b *testing.B) {
	budgets := newGrantedBudgets(b)
	now := time.Now()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			hold, err := budgets.Acquire(now, testBudget, 1000)
			if err != nil {
				b.Error(err)
				return
			}
			hold.Release()
		}
	})
}

// BenchmarkBudgetsRefused measures an Acquire that finds no free unit.
func BenchmarkBudgetsRefused(b *testing.B) {
	config := store.BudgetsConfig{Table: standin.NewTable()}
	config.Self = "a"
	budgets := store.NewBudgets(config)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := budgets.Acquire(now, testBudget, 1000); err == nil {
			b.Fatal("acquired without a grant")
		}
	}
}
