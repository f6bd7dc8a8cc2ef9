package store

import (
	"time"

	"savorystep"
)

var _ savorystep.Permit = &budgetHold{}

// holdChunk is the number of holds that are allocated together. Holds are not
// reused, since a second Release of a reused hold would release another
// caller's unit.
const holdsPerAllocation = 128

// A budgetHold is one acquired unit.
type budgetHold struct {
	budget   *budget
	released bool
}

// Release gives the unit back. Only the first call counts.
func (h *budgetHold) Release() {
	h.budget.release(h)
}

// Valid reports whether the unit may still be used: all units in flight fit
// into what the row reserves for this instance at the given time, and no
// lowered cap holds admissions.
func (h *budgetHold) Valid(now time.Time) bool {
	return h.budget.isValid(h, now)
}
