package store_test

import (
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// newGrantedBudgets returns Budgets that hold a large grant.
func newGrantedBudgets(b *testing.B) *store.Budgets {
	b.Helper()
	config := store.BudgetsConfig{Table: standin.NewTable(), RoundPeriod: 10 * time.Millisecond}
	config.Self = "a"
	budgets := store.NewBudgets(config)
	budgets.Start(b.Context())
	const limit = 1000
	var permits []savorystep.Permit
	for len(permits) < 100 {
		if permit, err := budgets.Acquire(time.Now(), testBudget, limit); err == nil {
			permits = append(permits, permit)
		} else {
			time.Sleep(time.Millisecond)
		}
	}
	for _, permit := range permits {
		permit.Release()
	}
	return budgets
}

// BenchmarkBudgetsAcquireRelease measures one Acquire, Valid and Release.
func BenchmarkBudgetsAcquireRelease(b *testing.B) {
	budgets := newGrantedBudgets(b)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		permit, err := budgets.Acquire(now, testBudget, 1000)
		if err != nil {
			b.Fatal(err)
		}
		if !permit.Valid(now) {
			b.Fatal("Valid = false for an acquired permit")
		}
		permit.Release()
	}
}

// BenchmarkBudgetsAcquireParallel measures Acquire and Release on one budget
// from all cores.
func BenchmarkBudgetsAcquireParallel(b *testing.B) {
	budgets := newGrantedBudgets(b)
	now := time.Now()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, err := budgets.Acquire(now, testBudget, 1000)
			if err != nil {
				b.Error(err)
				return
			}
			permit.Release()
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
			b.Fatal("Acquire without a grant gave a permit")
		}
	}
}
