package store

import (
	"time"

	"savorystep"
)

// A GrantAllowance says how many units an instance may have in use. It is a
// value that stays true without further reads of the row, so that Acquire and
// Valid need only the present time.
type GrantAllowance struct {
	// Total is reserved for this instance until Expiry, Floor at all times.
	TotalUnits, FloorUnits savorystep.Slots
	Expiry                 time.Time
	// Ceiling bounds admissions below Total while this instance gives units
	// back to others.
	AdmissionCeiling savorystep.Slots
	// Held is true while the sum of the row is above the cap, or the row does
	// not hold a lowered cap yet. Nothing is admitted until HeldUntil, and from
	// then on HeldFloor.
	Suspended      bool
	SuspendedUntil time.Time
	SuspendedFloor savorystep.Slots
}

// Reserved returns how many units the row reserves for this instance. A unit
// within it may be used.
func (a *GrantAllowance) ReservedUnits(now time.Time) savorystep.Slots {
	if now.Before(a.Expiry) {
		return a.TotalUnits
	}
	return a.FloorUnits
}

// Usable returns how many units may be in use when the first byte of a request
// is about to be sent. While admissions are held because the cap was lowered,
// a unit acquired before may not be used either.
func (a *GrantAllowance) UsableUnits(now time.Time) savorystep.Slots {
	if a.Suspended {
		return a.AdmissionLimit(now)
	}
	return a.ReservedUnits(now)
}

// Admit returns how many units may be in use after an admission. It is at most
// Reserved.
func (a *GrantAllowance) AdmissionLimit(now time.Time) savorystep.Slots {
	if a.Suspended {
		if now.Before(a.SuspendedUntil) {
			return 0
		}
		return min(a.SuspendedFloor, a.ReservedUnits(now))
	}
	return min(a.AdmissionCeiling, a.ReservedUnits(now))
}
