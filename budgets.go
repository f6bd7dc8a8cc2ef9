package savorystep

import "time"

// Budgets hands out the units of budgets that instances share.
type Budgets interface {
	// Acquire takes one unit of a budget with the given cap. The error has kind
	// KindCapReached if this instance's grant is used up.
	Acquire(now time.Time, name BudgetName, limit Slots) (Permit, error)
}

// A Permit is one acquired unit of a budget.
type Permit interface {
	// Release gives the unit back. Only the first call counts.
	Release()
	// Valid reports whether the unit may still be used at the given time. It
	// is checked just before the first byte of a request goes out.
	Valid(now time.Time) bool
}
