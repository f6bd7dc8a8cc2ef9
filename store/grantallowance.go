package store

import (
	"time"

	"savorystep"
)

// A GrantAllowance says how many units an instance may have in use. It stays
// valid without further reads of the row, so that Acquire and Valid depend only
// on the current time.
type GrantAllowance struct {
	// TotalUnits is reserved for this instance until Expiry, FloorUnits without
	// time limit.
	TotalUnits, FloorUnits savorystep.Slots
	Expiry                 time.Time
	// AdmissionCeiling bounds admissions below TotalUnits while this instance
	// returns units to others.
	AdmissionCeiling savorystep.Slots
	// Suspended is true while the sum of the row is above the cap, the row does
	// not record a lowered cap yet, or a restored row may lack units that do not
	// fit a lowered cap. Nothing is admitted until SuspendedUntil, and from then
	// on at most SuspendedFloor units.
	Suspended      bool
	SuspendedUntil time.Time
	SuspendedFloor savorystep.Slots
}

// ReservedUnits returns how many units the row reserves for this instance at
// the given time. Units within this number may be used.
func (a *GrantAllowance) ReservedUnits(now time.Time) savorystep.Slots {
	if now.Before(a.Expiry) {
		return a.TotalUnits
	}
	return a.FloorUnits
}

// UsableUnits returns how many units may be in use at the moment before the
// first byte of a request is sent. While admissions are suspended because the
// cap was lowered, units that were acquired before may not be used either.
func (a *GrantAllowance) UsableUnits(now time.Time) savorystep.Slots {
	if a.Suspended {
		return a.AdmissionLimit(now)
	}
	return a.ReservedUnits(now)
}

// AdmissionLimit returns how many units may be in use after an admission. It
// never exceeds ReservedUnits.
func (a *GrantAllowance) AdmissionLimit(now time.Time) savorystep.Slots {
	if a.Suspended {
		if now.Before(a.SuspendedUntil) {
			return 0
		}
		return min(a.SuspendedFloor, a.ReservedUnits(now))
	}
	return min(a.AdmissionCeiling, a.ReservedUnits(now))
}
