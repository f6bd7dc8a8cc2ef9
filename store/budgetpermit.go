package store

import (
	"time"

	"savorystep"
)

var _ savorystep.Permit = &budgetPermit{}

// permitsPerAllocation is the number of permits that are allocated together.
// Permits are not reused, because a second Release of a reused permit would
// release another caller's unit.
const permitsPerAllocation = 128

// A budgetPermit is one acquired unit.
type budgetPermit struct {
	budget   *budget
	released bool
}

// Release returns the unit. Only the first call has an effect.
func (p *budgetPermit) Release() {
	p.budget.release(p)
}

// Valid reports whether the unit may still be used: all units in flight fit
// into what the row reserves for this instance at the given time, and
// admissions are not suspended because of a lowered cap.
func (p *budgetPermit) Valid(now time.Time) bool {
	return p.budget.isValid(p, now)
}
