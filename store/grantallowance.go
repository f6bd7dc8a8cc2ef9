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
	Total, Floor savorystep.Slots
	Expiry       time.Time
	// Ceiling bounds admissions below Total while this instance gives units
	// back to others.
	Ceiling savorystep.Slots
	// Held is true while the sum of the row is above the cap, or the row does
	// not hold a lowered cap yet. Nothing is admitted until HeldUntil, and from
	// then on HeldFloor.
	Held      bool
	HeldUntil time.Time
	HeldFloor savorystep.Slots
}

// Reserved returns how many units the row reserves for this instance. A unit
// within it may be used.
func (a *GrantAllowance) Reserved(now time.Time) savorystep.Slots {
	if now.Before(a.Expiry) {
		return a.Total
	}
	return a.Floor
}

// Usable returns how many units may be in use when the first byte of a request
// is about to be sent. While admissions are held because the cap was lowered,
// a unit acquired before may not be used either.
func (a *GrantAllowance) Usable(now time.Time) savorystep.Slots {
	if a.Held {
		return a.Admit(now)
	}
	return a.Reserved(now)
}

// Admit returns how many units may be in use after an admission. It is at most
// Reserved.
func (a *GrantAllowance) Admit(now time.Time) savorystep.Slots {
	if a.Held {
		if now.Before(a.HeldUntil) {
			return 0
		}
		return min(a.HeldFloor, a.Reserved(now))
	}
	return min(a.Ceiling, a.Reserved(now))
}
