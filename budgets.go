package savorystep

import "time"

// Budgets limits the requests in flight over all instances. Each instance has a
// grant of units of a budget; a request in flight occupies one unit.
type Budgets interface {
	// Acquire takes one unit of the named budget, whose cap is limit. The error
	// has kind KindCapReached if all units of this instance's grant are in use.
	Acquire(now time.Time, name BudgetName, limit Slots) (Permit, error)
}

// A Permit is an acquired unit of a budget.
type Permit interface {
	// Release returns the unit to the budget. Further calls have no effect.
	Release()
	// Valid reports whether the unit may still be used at the given time. Callers
	// check it immediately before they send the first byte of a request, since
	// the grant may have expired while the request waited.
	Valid(now time.Time) bool
}
