package store

import (
	"slices"
	"time"

	"savorystep"
)

// beginRestore keeps this instance's entry as it is in force, because the row of the
// new era may lack it.
func (l *GrantLedger) beginRestore(era savorystep.StoreEra, now time.Time) {
	l.isSumUnknown = l.isSumUnknown || l.exceedsCap(l.lowestLiveCap(now))
	held := l.row.Holder(l.config.Self)
	if l.hasOpenWrites {
		held.limit(l.openTotal, l.openFloor)
	}
	l.held = &held
	l.expireHeld(now)
	l.era = era
	clear(l.sightings)
}

// observeEra records a response of the table in the era of the known row.
func (l *GrantLedger) observeEra(at time.Time) {
	l.guard.observe(l.era, at)
	l.isSumUnknown = l.isSumUnknown && l.guard.isOpen()
}

// expireHeld removes the units of the held entry once its grant has expired, because
// others may have reclaimed them in the lost rows.
func (l *GrantLedger) expireHeld(now time.Time) {
	if l.held == nil || l.held.Units == 0 {
		return
	}
	if ownWrite, ok := l.ownWrites[l.held.Nonce]; !ok || now.Sub(ownWrite.at) >= l.config.GrantLifetime {
		l.held.Units = 0
		l.row.set(*l.held)
	}
}

// restoreHeld replaces this instance's entry in a row by the held one, unless the
// row has it again.
func (l *GrantLedger) restoreHeld(row *GrantRow) {
	if l.held == nil {
		return
	}
	own := row.Holder(l.config.Self)
	ownWrite, isOwn := l.ownWrites[own.Nonce]
	isSame := own.Nonce == l.held.Nonce && own.Units == l.held.Units && slices.Equal(own.Slots, l.held.Slots)
	if isSame || isOwn && ownWrite.era == l.era || own.isEmpty() && l.held.isEmpty() {
		l.held = nil
		return
	}
	row.set(*l.held)
}

// shouldWriteInRestore reports whether the next entry should be written while the row
// may lack the grants of others. It leaves the row to the instances that have to write
// their units again.
func (l *GrantLedger) shouldWriteInRestore(now time.Time, plan *grantPlan, next GrantHolder, demand GrantDemand) bool {
	switch {
	case plan.own.TotalUnits() == 0:
		return false
	case l.held != nil, l.capReductionsInRow < l.capReductions:
		return true
	default:
		return plan.own.Units > 0 && l.isRenewalDue(now, &plan.own, next, demand)
	}
}

// NoteEra records that the table is in an era. If it is a later one, the row has to be
// read.
func (l *GrantLedger) NoteEra(era savorystep.StoreEra) {
	if era > l.era {
		l.hasUnknownOutcome = true
	}
}

// EndRestore records that all grants have ended that a row of the era may lack.
func (l *GrantLedger) EndRestore(era savorystep.StoreEra) {
	l.guard.close(era)
}

// limit reduces the entry to at most the given units in total and in floor slots.
func (h *GrantHolder) limit(total, floor savorystep.Slots) {
	h.Slots = slices.Clone(h.Slots)
	for len(h.Slots) > 0 && h.FloorUnits() > min(total, floor) {
		h.Slots = h.Slots[:len(h.Slots)-1]
	}
	h.Units = min(h.Units, total-h.FloorUnits())
}
