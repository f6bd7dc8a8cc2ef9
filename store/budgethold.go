package store

import (
	"time"

	"savorystep"
)

var _ savorystep.Permit = &budgetHold{}

// holdsPerAllocation is the number of holds that are allocated together. Holds
// are not reused, because a second Release of a reused hold would release
// another caller's unit.
const holdsPerAllocation = 128

// A budgetHold is one acquired unit.
type budgetHold struct {
	budget   *budget
	released bool
}

// Release returns the unit. Only the first call has an effect.
func (h *budgetHold) Release() {
	h.budget.release(h)
}

// Valid reports whether the unit may still be used: all units in flight fit
// into what the row reserves for this instance at the given time, and
// admissions are not suspended because of a lowered cap.
func (h *budgetHold) Valid(now time.Time) bool {
	return h.budget.isValid(h, now)
}
