package store

import (
	"time"

	"savorystep"
)

// A grantPlan is what a ledger works out before it proposes a row.
type grantPlan struct {
	// row is the known row without what has lapsed.
	row       GrantRow
	reclaimed []savorystep.InstanceID
	own       GrantHolder
	// limit is the cap that counts, free what is not given out of it. Free is
	// negative after the cap was lowered.
	limit, free savorystep.Slots
	// want is what this instance could use, fair its part of the cap.
	want, fair savorystep.Slots
	// unmet is true if another live holder has less than it wants.
	unmet bool
	// lacking is true if another live holder has no floor slot.
	lacking bool
	// sharers counts the instances that the floor slots are divided among.
	sharers int
}

// Propose returns the next content of the row, or false if there is nothing to
// write. The time must be from before the write is sent; the lifetime of the
// grant counts from it. From here on the write counts as open until Committed,
// or until Observe sees another version of the row.
func (l *GrantLedger) Propose(now time.Time, demand GrantDemand) (GrantProposal, bool) {
	if !l.known || l.unsettled {
		return GrantProposal{}, false
	}
	plan := l.plan(now, demand)
	next := l.nextEntry(&plan, demand)
	if !l.shouldWrite(now, &plan, next, demand) {
		return GrantProposal{}, false
	}
	next.Nonce = l.nextNonce()
	plan.row.Cap = plan.limit
	plan.row.set(next)

	total, floor := next.TotalUnits(), next.FloorUnits()
	if l.open {
		total, floor = min(total, l.openTotal), min(floor, l.openFloor)
	}
	l.open, l.openTotal, l.openFloor = true, total, floor
	l.sent[next.Nonce] = sentWrite{at: now, lowered: l.lowered}
	l.wrote, l.lastNonce = now, next.Nonce
	return GrantProposal{BaseVersion: l.version, Nonce: next.Nonce, Row: plan.row, ReclaimedFrom: plan.reclaimed}, true
}

// plan drops what has lapsed from the row and works out this instance's part.
func (l *GrantLedger) plan(now time.Time, demand GrantDemand) grantPlan {
	plan := grantPlan{row: l.row.clone(), limit: l.limitInRow(now), own: l.row.Holder(l.config.Self)}
	for _, holder := range l.row.Holders {
		if holder.ID == l.config.Self {
			continue
		}
		before := holder.TotalUnits()
		l.lapse(&holder, now, demand.EndedInstances[holder.ID])
		plan.row.set(holder)
		if holder.TotalUnits() < before {
			plan.reclaimed = append(plan.reclaimed, holder.ID)
		}
	}
	plan.free = plan.limit - plan.row.TotalUnits()

	plan.want = max(demand.InFlight, min(l.wantFor(demand), plan.limit))
	plan.sharers = 1
	divided := plan.limit
	claims := make([]grantClaim, 0, len(plan.row.Holders)+1)
	for i := range plan.row.Holders {
		holder := &plan.row.Holders[i]
		switch {
		case holder.ID == l.config.Self:
			continue
		case l.isLive(holder, now):
			claims = append(claims, grantClaim{holder.ID, max(holder.Wanted, holder.FloorUnits())})
			plan.unmet = plan.unmet || holder.Wanted > holder.TotalUnits()
			plan.lacking = plan.lacking || len(holder.Slots) == 0
			plan.sharers++
		default:
			divided -= holder.TotalUnits()
			if len(holder.Slots) > 0 {
				plan.sharers++
			}
		}
	}
	claims = append(claims, grantClaim{l.config.Self, max(plan.want, l.floorWanted(&plan, demand))})
	plan.fair = fairGrant(divided, claims, l.config.Self)
	return plan
}

// wantFor returns what this instance asks for: its need, and a quarter on top
// so that it need not write the row for each further unit.
func (l *GrantLedger) wantFor(demand GrantDemand) savorystep.Slots {
	if demand.ReturnUnused || demand.PeakNeed == 0 {
		return demand.InFlight
	}
	return demand.PeakNeed + demand.PeakNeed/4 + 1
}

// lapse takes from another holder's entry what may be given to others.
func (l *GrantLedger) lapse(holder *GrantHolder, now time.Time, ended bool) {
	if ended {
		holder.Slots = nil
	}
	after := l.config.lapseAfter(ended || holder.Units == 0)
	if holder.Nonce == "" || now.Sub(l.seen[holder.ID].at) < after {
		return
	}
	holder.Nonce = ""
	holder.Units = 0
	holder.Wanted = 0
}

// wantedSlots returns the indexes of the floor slots that this instance should
// hold, in order. It holds on to its slots but for those above its equal part
// when another instance has none and no slot is free.
func (l *GrantLedger) wantedSlots(plan *grantPlan, demand GrantDemand) []int {
	if demand.ReturnUnused {
		return nil
	}
	count := l.config.FloorSlotCount
	usable := int(min(floorUnits(plan.limit), savorystep.Slots(count)))
	share := max(1, usable/plan.sharers)
	taken := make([]bool, count)
	mine := make([]bool, count)
	held, free := 0, usable
	for i := range plan.row.Holders {
		holder := &plan.row.Holders[i]
		for _, slot := range holder.Slots {
			if slot.Index < 0 || slot.Index >= usable {
				continue
			}
			free--
			taken[slot.Index] = true
			if holder.ID == l.config.Self {
				mine[slot.Index] = true
				held++
			}
		}
	}
	keep := max(held, share)
	if free <= 0 && plan.lacking {
		keep = min(held, share)
	}
	slots := make([]int, 0, keep)
	for index := 0; index < usable && len(slots) < keep; index++ {
		if mine[index] || (!taken[index] && held < share) {
			slots = append(slots, index)
			if !mine[index] {
				held++
			}
		}
	}
	return slots
}

// floorWanted returns the units of the wanted floor slots.
func (l *GrantLedger) floorWanted(plan *grantPlan, demand GrantDemand) savorystep.Slots {
	var sum savorystep.Slots
	for _, index := range l.wantedSlots(plan, demand) {
		sum += floorSlotUnits(plan.limit, index, l.config.FloorSlotCount)
	}
	return sum
}

// nextEntry returns this instance's next entry, without a nonce.
func (l *GrantLedger) nextEntry(plan *grantPlan, demand GrantDemand) GrantHolder {
	mine := plan.own.TotalUnits()
	target := min(plan.fair, max(plan.want, l.floorWanted(plan, demand)))
	if target > mine {
		target = min(target, mine+max(plan.free, 0))
	} else {
		target = max(target, min(demand.InFlight, mine))
	}
	next := GrantHolder{ID: l.config.Self, Cap: l.limit, Wanted: plan.want}
	left := target
	for _, index := range l.wantedSlots(plan, demand) {
		units := min(left, floorSlotUnits(plan.limit, index, l.config.FloorSlotCount))
		if units == 0 {
			break
		}
		next.Slots = append(next.Slots, FloorSlot{Index: index, Units: units})
		left -= units
	}
	next.Units = left
	l.ceiling = max(plan.fair, 0)
	return next
}

// shouldWrite reports whether the next entry is worth a write now.
func (l *GrantLedger) shouldWrite(now time.Time, plan *grantPlan, next GrantHolder, demand GrantDemand) bool {
	own := &plan.own
	if own.isEmpty() {
		return !next.isEmpty()
	}
	if l.loweredInRow < l.lowered || own.Cap != next.Cap || l.isRenewalDue(now, own, next, demand) {
		return true
	}
	if next.TotalUnits() > own.TotalUnits() && demand.PeakNeed+demand.PeakNeed/8 >= own.TotalUnits() {
		return true
	}
	if len(own.Slots) == 0 && len(next.Slots) > 0 {
		return true
	}
	return now.Sub(l.wrote) >= l.config.pace() && isGivingBack(plan, next, demand)
}

// isGivingBack reports whether the next entry gives back what others wait for,
// or records that this instance waits for much more than it did.
func isGivingBack(plan *grantPlan, next GrantHolder, demand GrantDemand) bool {
	fewerUnits := next.TotalUnits() < plan.own.TotalUnits()
	fewerSlots := len(next.Slots) < len(plan.own.Slots)
	switch {
	case fewerUnits && (plan.unmet || plan.free < 0 || demand.ReturnUnused):
		return true
	case fewerSlots && (plan.lacking || demand.ReturnUnused):
		return true
	default:
		return next.Wanted > next.TotalUnits() && next.Wanted > plan.own.Wanted+plan.own.Wanted/4
	}
}

// isRenewalDue reports whether the entry is old enough to be renewed. An entry
// with floor slots only needs no renewal, unless it waits for units.
func (l *GrantLedger) isRenewalDue(now time.Time, own *GrantHolder, next GrantHolder, demand GrantDemand) bool {
	if own.Units == 0 && next.Units == 0 && next.Wanted <= next.TotalUnits() {
		return false
	}
	sent, ok := l.sent[own.Nonce]
	if !ok {
		return true
	}
	if demand.Piggyback {
		return now.Sub(sent.at) >= l.config.batchAfter()
	}
	return now.Sub(sent.at) >= l.config.renewAfter()
}
