package store

import (
	"time"

	"savorystep"
)

// A grantPlan holds the intermediate results of a proposal.
type grantPlan struct {
	// row is the known row without expired grants and without the floor slots
	// of ended holders.
	row       GrantRow
	reclaimed []savorystep.InstanceID
	own       GrantHolder
	// budgetCap is the cap that applies, freeUnits the part of it that is not
	// given out. freeUnits is negative while more is given out than a lowered
	// cap allows.
	budgetCap, freeUnits savorystep.Slots
	// wanted is the number of units that this instance could use, fairShare its
	// max-min fair share of the cap.
	wanted, fairShare savorystep.Slots
	// othersWaiting is true if another live holder has fewer units than it
	// wants.
	othersWaiting bool
	// othersLackSlots is true if another live holder has no floor slot.
	othersLackSlots bool
	// isRestoring is true while the row may lack the grants of others.
	isRestoring bool
	// slotSharers is the number of instances that share the floor slots.
	slotSharers int
}

// Propose returns the next write of the row, or false if none is needed. The
// time must be taken before the write is sent, because the lifetime of the
// grant begins then. The write counts as open until RecordCommit, or until
// Observe gets a newer row version.
func (l *GrantLedger) Propose(now time.Time, demand GrantDemand) (GrantProposal, bool) {
	if !l.rowKnown || l.hasUnknownOutcome {
		return GrantProposal{}, false
	}
	l.expireHeld(now)
	plan := l.plan(now, demand)
	next := l.nextEntry(&plan, demand)
	if !l.shouldWrite(now, &plan, next, demand) {
		return GrantProposal{}, false
	}
	next.Nonce = l.nextNonce()
	plan.row.Cap = plan.budgetCap
	plan.row.set(next)

	total, floor := next.TotalUnits(), next.FloorUnits()
	if l.hasOpenWrites {
		total, floor = min(total, l.openTotal), min(floor, l.openFloor)
	}
	l.hasOpenWrites, l.openTotal, l.openFloor = true, total, floor
	l.ownWrites[next.Nonce] = sentWrite{at: now, era: l.era, capReductions: l.capReductions}
	l.lastWriteAt, l.lastNonce = now, next.Nonce
	return GrantProposal{BaseVersion: l.version, Era: l.era, Nonce: next.Nonce, Row: plan.row, ReclaimedFrom: plan.reclaimed}, true
}

// plan removes the expired entries from a copy of the row and computes this
// instance's share.
func (l *GrantLedger) plan(now time.Time, demand GrantDemand) grantPlan {
	plan := grantPlan{
		row: l.row.clone(), budgetCap: l.lowestLiveCap(now), own: l.row.Holder(l.config.Self),
		isRestoring: l.guard.isOpen(),
	}
	for _, holder := range l.row.Holders {
		if holder.ID == l.config.Self {
			continue
		}
		before := holder.TotalUnits()
		l.reclaimExpired(&holder, now, demand.EndedInstances[holder.ID])
		plan.row.set(holder)
		if holder.TotalUnits() < before {
			plan.reclaimed = append(plan.reclaimed, holder.ID)
		}
	}
	plan.freeUnits = plan.budgetCap - plan.row.TotalUnits()

	plan.wanted = max(demand.InFlight, min(l.wantedUnits(demand), plan.budgetCap))
	plan.slotSharers = 1
	divisible := plan.budgetCap
	claims := make([]grantClaim, 0, len(plan.row.Holders)+1)
	for i := range plan.row.Holders {
		holder := &plan.row.Holders[i]
		switch {
		case holder.ID == l.config.Self:
			continue
		case l.isLive(holder, now):
			claims = append(claims, grantClaim{holder.ID, max(holder.Wanted, holder.FloorUnits())})
			plan.othersWaiting = plan.othersWaiting || holder.Wanted > holder.TotalUnits()
			plan.othersLackSlots = plan.othersLackSlots || len(holder.Slots) == 0
			plan.slotSharers++
		default:
			divisible -= holder.TotalUnits()
			if len(holder.Slots) > 0 {
				plan.slotSharers++
			}
		}
	}
	plan.othersLackSlots = plan.othersLackSlots && !plan.isRestoring
	claims = append(claims, grantClaim{l.config.Self, max(plan.wanted, l.wantedFloorUnits(&plan, demand))})
	plan.fairShare = maxMinShare(divisible, claims, l.config.Self)
	return plan
}

// wantedUnits returns the recent peak need plus a quarter and one unit, so that
// not every additional unit needs a write. Without a recent need it returns the
// units in flight.
func (l *GrantLedger) wantedUnits(demand GrantDemand) savorystep.Slots {
	if demand.ReturnUnused || demand.PeakNeed == 0 {
		return demand.InFlight
	}
	return demand.PeakNeed + demand.PeakNeed/4 + 1
}

// reclaimExpired removes from another holder's entry the units that may be
// given to others. An entry without a grant is cleared without waiting for the
// maximum request time.
func (l *GrantLedger) reclaimExpired(holder *GrantHolder, now time.Time, holderEnded bool) {
	if holderEnded {
		holder.Slots = nil
	}
	after := l.config.reclaimAfter(holderEnded || holder.Units == 0)
	if holder.Nonce == "" || now.Sub(l.sightings[holder.ID].at) < after {
		return
	}
	holder.Nonce = ""
	holder.Units = 0
	holder.Wanted = 0
}

// wantedSlots returns the indexes of the floor slots that this instance should
// hold, in order. It keeps the slots that it has, except that it gives up those
// above its equal share if another instance has no slot and none is free.
func (l *GrantLedger) wantedSlots(plan *grantPlan, demand GrantDemand) []int {
	if demand.ReturnUnused {
		return nil
	}
	count := l.config.FloorSlotCount
	usableSlots := int(min(floorUnits(plan.budgetCap), savorystep.Slots(count)))
	fairCount := plan.fairSlots(usableSlots)
	taken := make([]bool, count)
	own := make([]bool, count)
	ownCount, freeSlots := 0, usableSlots
	for i := range plan.row.Holders {
		holder := &plan.row.Holders[i]
		for _, slot := range holder.Slots {
			if slot.Index < 0 || slot.Index >= usableSlots {
				continue
			}
			freeSlots--
			taken[slot.Index] = true
			if holder.ID == l.config.Self {
				own[slot.Index] = true
				ownCount++
			}
		}
	}
	maxCount := max(ownCount, fairCount)
	if freeSlots <= 0 && plan.othersLackSlots {
		maxCount = min(ownCount, fairCount)
	}
	slots := make([]int, 0, maxCount)
	for index := 0; index < usableSlots && len(slots) < maxCount; index++ {
		if own[index] || (!taken[index] && ownCount < fairCount) {
			slots = append(slots, index)
			if !own[index] {
				ownCount++
			}
		}
	}
	return slots
}

// fairSlots returns the number of floor slots up to which this instance takes free
// ones.
func (p *grantPlan) fairSlots(usableSlots int) int {
	if p.isRestoring {
		return 0
	}
	return max(1, usableSlots/p.slotSharers)
}

// wantedFloorUnits returns the total units of the floor slots from wantedSlots.
func (l *GrantLedger) wantedFloorUnits(plan *grantPlan, demand GrantDemand) savorystep.Slots {
	var sum savorystep.Slots
	for _, index := range l.wantedSlots(plan, demand) {
		sum += floorSlotUnits(plan.budgetCap, index, l.config.FloorSlotCount)
	}
	return sum
}

// nextEntry returns this instance's next entry, without a nonce. It also
// updates the admission ceiling to the fair share.
func (l *GrantLedger) nextEntry(plan *grantPlan, demand GrantDemand) GrantHolder {
	current := plan.own.TotalUnits()
	target := min(plan.fairShare, max(plan.wanted, l.wantedFloorUnits(plan, demand)))
	switch {
	case target <= current:
		target = max(target, min(demand.InFlight, current))
	case plan.isRestoring:
		target = current
	default:
		target = min(target, current+max(plan.freeUnits, 0))
	}
	next := GrantHolder{ID: l.config.Self, Cap: l.budgetCap, Wanted: plan.wanted}
	remaining := target
	for _, index := range l.wantedSlots(plan, demand) {
		units := min(remaining, floorSlotUnits(plan.budgetCap, index, l.config.FloorSlotCount))
		if units == 0 {
			break
		}
		next.Slots = append(next.Slots, FloorSlot{Index: index, Units: units})
		remaining -= units
	}
	next.Units = remaining
	l.admissionCeiling = max(plan.fairShare, 0)
	return next
}

// shouldWrite reports whether the next entry should be written now.
func (l *GrantLedger) shouldWrite(now time.Time, plan *grantPlan, next GrantHolder, demand GrantDemand) bool {
	own := &plan.own
	if plan.isRestoring {
		return l.shouldWriteInRestore(now, plan, next, demand)
	}
	if l.held != nil {
		return true
	}
	if own.isEmpty() {
		return !next.isEmpty()
	}
	if l.capReductionsInRow < l.capReductions || own.Cap != next.Cap || l.isRenewalDue(now, own, next, demand) {
		return true
	}
	if next.TotalUnits() > own.TotalUnits() && demand.PeakNeed+demand.PeakNeed/8 >= own.TotalUnits() {
		return true
	}
	if len(own.Slots) == 0 && len(next.Slots) > 0 {
		return true
	}
	return now.Sub(l.lastWriteAt) >= l.config.minWriteInterval() && returnsUnitsOrWantsMore(plan, next, demand)
}

// returnsUnitsOrWantsMore reports whether the next entry returns units or floor
// slots that others wait for, or raises the recorded demand of a waiting
// instance by more than a quarter.
func returnsUnitsOrWantsMore(plan *grantPlan, next GrantHolder, demand GrantDemand) bool {
	fewerUnits := next.TotalUnits() < plan.own.TotalUnits()
	fewerSlots := len(next.Slots) < len(plan.own.Slots)
	switch {
	case fewerUnits && (plan.othersWaiting || plan.freeUnits < 0 || demand.ReturnUnused):
		return true
	case fewerSlots && (plan.othersLackSlots || demand.ReturnUnused):
		return true
	default:
		return next.Wanted > next.TotalUnits() && next.Wanted > plan.own.Wanted+plan.own.Wanted/4
	}
}

// isRenewalDue reports whether the entry is old enough to be renewed. An entry
// with floor slots only needs no renewal, unless the instance waits for units.
func (l *GrantLedger) isRenewalDue(now time.Time, own *GrantHolder, next GrantHolder, demand GrantDemand) bool {
	if own.Units == 0 && next.Units == 0 && next.Wanted <= next.TotalUnits() {
		return false
	}
	ownWrite, ok := l.ownWrites[own.Nonce]
	if !ok {
		return true
	}
	if demand.Piggyback {
		return now.Sub(ownWrite.at) >= l.config.piggybackRenewalAge()
	}
	return now.Sub(ownWrite.at) >= l.config.renewalAge()
}
