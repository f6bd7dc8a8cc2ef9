package store

import (
	"cmp"
	"slices"

	"savorystep"
)

// A grantClaim is the number of units that one instance could use of a
// contended budget.
type grantClaim struct {
	id    savorystep.InstanceID
	units savorystep.Slots
}

// maxMinShare returns the max-min fair share of the instance's claim: no claim
// gets more than it asks for, and what small claims leave over is divided
// equally among the larger ones. The shares of all claims add up to at most
// total, so instances that read the same row compute shares that fit together.
func maxMinShare(total savorystep.Slots, claims []grantClaim, id savorystep.InstanceID) savorystep.Slots {
	slices.SortFunc(claims, func(a, b grantClaim) int {
		return cmp.Or(cmp.Compare(a.units, b.units), cmp.Compare(a.id, b.id))
	})
	remaining := max(total, 0)
	for i, claim := range claims {
		share := min(claim.units, remaining/savorystep.Slots(len(claims)-i))
		if claim.id == id {
			return share
		}
		remaining -= share
	}
	return 0
}

// floorUnits returns the size of a budget's floor, the units of all its floor
// slots together: a quarter of the cap, rounded up so that a small budget has a
// floor too.
func floorUnits(budgetCap savorystep.Slots) savorystep.Slots {
	return (max(budgetCap, 0) + 3) / 4
}

// floorSlotUnits returns the units of one of count floor slots. The units of
// all slots add up to floorUnits.
func floorSlotUnits(budgetCap savorystep.Slots, index, count int) savorystep.Slots {
	if index < 0 || index >= count {
		return 0
	}
	total := floorUnits(budgetCap)
	units := total / savorystep.Slots(count)
	if savorystep.Slots(index) < total%savorystep.Slots(count) {
		units++
	}
	return units
}
