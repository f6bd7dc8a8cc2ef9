package store

import (
	"time"

	"savorystep"
)

// ReadInterval returns the interval at which the row should be read, or false
// if no reads are needed. An instance that lacks units reads every thirtieth of
// the grant lifetime. A holder of more than an equal share reads every tenth of
// it, because it must give units back when another instance wants some.
func (l *GrantLedger) ReadInterval(demand GrantDemand) (time.Duration, bool) {
	if !l.rowKnown || l.hasUnknownOutcome {
		return 0, true
	}
	own := l.row.Holder(l.config.Self)
	budgetCap := l.lowestLiveCap(l.checkedAt)
	if l.guard.isOpen() || l.isSumUnknown {
		return l.config.GrantLifetime / 6, true
	}
	if demand.PeakNeed > own.TotalUnits() || l.row.TotalUnits() > budgetCap {
		return l.config.GrantLifetime / 30, true
	}
	if own.Units > 0 && own.TotalUnits() > budgetCap/savorystep.Slots(len(l.row.Holders)+1) {
		return l.config.GrantLifetime / 10, true
	}
	return 0, false
}

// IsReadDue reports whether the row should be read now.
func (l *GrantLedger) IsReadDue(now time.Time, demand GrantDemand) bool {
	interval, ok := l.ReadInterval(demand)
	return ok && (!l.rowKnown || l.hasUnknownOutcome || now.Sub(l.checkedAt) >= interval)
}

// NeedsInstanceList reports whether this ledger must know which holders have
// ended: grants is true if a holder has not renewed its grant within the
// lifetime, floorSlots if a holder that does not renew has floor slots.
func (l *GrantLedger) NeedsInstanceList(now time.Time) (grants, floorSlots bool) {
	for i := range l.row.Holders {
		holder := &l.row.Holders[i]
		if holder.ID == l.config.Self || now.Sub(l.sightings[holder.ID].at) < l.config.GrantLifetime {
			continue
		}
		grants = grants || holder.Units > 0
		floorSlots = floorSlots || len(holder.Slots) > 0
	}
	return grants, floorSlots
}
