package store

import (
	"strconv"
	"time"

	"savorystep"
)

// A GrantLedger decides for one instance about one budget: which content the
// budget's row should have next, and how many units this instance may have in
// use. It does no I/O and reads no clock; every time is an argument and carries
// this instance's monotonic reading. It is not safe for concurrent use.
//
// The sum of what the instances may use stays within the cap because of these
// rules:
//
//   - An instance uses only what the row reserves for it. Units change hands
//     only by compare-and-set on the version of the row that was read.
//   - A write whose outcome is unknown may still take effect while the row has
//     the version that the write was conditioned on. Until the version changes,
//     only the smallest of the row's entry and the open writes is used.
//   - A grant is used for its lifetime, counted from before the write. It is
//     reclaimed after its nonce was seen unchanged for longer than that,
//     counted from after the read. The nonce rather than the row's version is
//     watched, because each renewal of another holder changes the version.
//   - Units in flight when a grant expires still occupy the upstream. They
//     count against the floor and the next grant of the holder, and the grant
//     of a holder that is not listed as ended is reclaimed only after a further
//     request time. See docs/decisions/grants.md.
//   - A floor slot is taken from an instance only once it is listed as ended.
//   - A grant never shrinks below the units in flight.
//   - Each entry holds the cap that is in force at its holder, and the least of
//     them counts. An instance that learned of a lower cap admits nothing until
//     the row holds the lower cap and the sum of the row fits it.
type GrantLedger struct {
	config GrantLedgerConfig

	// known is true once the row was read. row is its content at version, as
	// of the time checked.
	rowKnown  bool
	version   savorystep.RowVersion
	row       GrantRow
	checkedAt time.Time

	// seen holds, for each other holder, when its nonce was first seen.
	sightings map[savorystep.InstanceID]nonceSighting
	// sent holds the times from which the lifetimes of own writes count.
	ownWrite      map[GrantNonce]sentWrite
	nonceSequence uint64
	// wrote and lastNonce are of the last own write.
	lastWriteAt time.Time
	lastNonce   GrantNonce

	// open is true while writes conditioned on version have an unknown
	// outcome. openTotal and openFloor are the least that they give to this
	// instance.
	hasOpenWrites        bool
	openTotal, openFloor savorystep.Slots
	// unsettled is true if the row was not read since the last write of
	// unknown outcome.
	hasUnknownOutcome bool

	budgetCap savorystep.Slots
	capSetAt  time.Time
	// lowered counts how often the limit was lowered. loweredInRow is the count
	// that the entry in the row was written with.
	capReductions, capReductionsInRow uint64

	admissionCeiling savorystep.Slots
}

// A nonceSighting is a nonce together with the time at which it was first
// seen.
type nonceSighting struct {
	nonce GrantNonce
	at    time.Time
}

// A sentWrite is what has to be known of an own write once it is found in the
// row.
type sentWrite struct {
	at            time.Time
	capReductions uint64
}

// A GrantDemand is what an instance needs of a budget.
type GrantDemand struct {
	// InFlight is how many units are in use now.
	InFlight savorystep.Slots
	// Need is how many units were in use or asked for at the same time lately.
	PeakNeed savorystep.Slots
	// Leaving returns everything but what is in flight.
	ReturnUnused bool
	// Batch is true if the write joins a transaction that is sent anyway.
	Piggyback bool
	// Ended holds the instances that the platform lists as ended.
	EndedInstances map[savorystep.InstanceID]bool
}

// A GrantProposal is the next content of a budget's row.
type GrantProposal struct {
	// Base is the version that the write must be conditioned on.
	BaseVersion savorystep.RowVersion
	Nonce       GrantNonce
	Row         GrantRow
	// Reclaimed are the other holders whose units or slots the write takes
	// back.
	ReclaimedFrom []savorystep.InstanceID
}

// NewGrantLedger returns a ledger that knows nothing of the row.
func NewGrantLedger(config GrantLedgerConfig) *GrantLedger {
	return &GrantLedger{
		config:    config.withDefaults(),
		sightings: make(map[savorystep.InstanceID]nonceSighting),
		ownWrite:  make(map[GrantNonce]sentWrite),
	}
}

// SetLimit sets the cap that is in force at this instance.
func (l *GrantLedger) SetCap(now time.Time, budgetCap savorystep.Slots) {
	if budgetCap == l.budgetCap && !l.capSetAt.IsZero() {
		return
	}
	if budgetCap < l.budgetCap {
		l.capReductions++
	}
	l.budgetCap = budgetCap
	l.capSetAt = now
}

// Observe takes the row as it was read or returned with a conflict. The time
// is from after the answer arrived. A row older than the one known is ignored.
func (l *GrantLedger) Observe(row savorystep.Row, at time.Time) error {
	if l.rowKnown && row.Version < l.version {
		return nil
	}
	if l.rowKnown && row.Version == l.version {
		l.checkedAt = at
		l.hasUnknownOutcome = false
		return nil
	}
	decoded, err := decodeGrantRow(row)
	if err != nil {
		return err
	}
	l.adopt(decoded, row.Version, at)
	return nil
}

// Committed takes note that a proposal took effect and gave the row the given
// version. The time is from after the answer arrived.
func (l *GrantLedger) RecordCommit(proposal GrantProposal, version savorystep.RowVersion, at time.Time) {
	if version > l.version {
		l.adopt(proposal.Row, version, at)
	}
}

// Unknown takes note that the outcome of a proposal is unknown.
func (l *GrantLedger) RecordUnknownOutcome() {
	l.hasUnknownOutcome = true
}

// adopt replaces the known row. Writes conditioned on an older version can no
// longer take effect.
func (l *GrantLedger) adopt(row GrantRow, version savorystep.RowVersion, at time.Time) {
	l.rowKnown, l.version, l.row, l.checkedAt = true, version, row, at
	l.hasOpenWrites, l.hasUnknownOutcome = false, false
	sightings := make(map[savorystep.InstanceID]nonceSighting, len(row.Holders))
	for i := range row.Holders {
		holder := &row.Holders[i]
		sighting, ok := l.sightings[holder.ID]
		if !ok || sighting.nonce != holder.Nonce {
			sighting = nonceSighting{nonce: holder.Nonce, at: at}
		}
		sightings[holder.ID] = sighting
	}
	l.sightings = sightings
	own := row.Holder(l.config.Self)
	if own.Nonce != l.lastNonce {
		// The last write did not take effect, so the next one need not wait.
		l.lastWriteAt = time.Time{}
	}
	if ownWrite, ok := l.ownWrite[own.Nonce]; ok {
		l.capReductionsInRow = ownWrite.capReductions
	}
	for nonce, ownWrite := range l.ownWrite {
		if nonce != own.Nonce && at.Sub(ownWrite.at) >= l.config.GrantLifetime {
			delete(l.ownWrite, nonce)
		}
	}
}

// Allowance returns how many units this instance may have in use.
func (l *GrantLedger) Allowance() GrantAllowance {
	own := l.row.Holder(l.config.Self)
	allowance := GrantAllowance{TotalUnits: own.TotalUnits(), FloorUnits: own.FloorUnits(), AdmissionCeiling: own.TotalUnits()}
	if l.hasOpenWrites {
		allowance.TotalUnits = min(allowance.TotalUnits, l.openTotal)
		allowance.FloorUnits = min(allowance.FloorUnits, l.openFloor)
	}
	if ownWrite, ok := l.ownWrite[own.Nonce]; ok {
		allowance.Expiry = ownWrite.at.Add(l.config.GrantLifetime)
	}
	budgetCap := l.lowestLiveCap(l.checkedAt)
	if l.capReductionsInRow < l.capReductions || l.row.TotalUnits() > budgetCap {
		allowance.Suspended = true
		suspendedSince := l.capSetAt
		if l.checkedAt.After(suspendedSince) {
			suspendedSince = l.checkedAt
		}
		allowance.SuspendedUntil = suspendedSince.Add(l.config.reclaimAfter(false))
		for _, slot := range own.Slots {
			allowance.SuspendedFloor += min(slot.Units, floorSlotUnits(budgetCap, slot.Index, l.config.FloorSlotCount))
		}
	}
	if l.isContended(budgetCap) {
		allowance.AdmissionCeiling = max(min(allowance.AdmissionCeiling, l.admissionCeiling), allowance.FloorUnits)
	}
	return allowance
}

// contended reports whether another instance wants more than it has, or more
// is given out than the cap allows.
func (l *GrantLedger) isContended(budgetCap savorystep.Slots) bool {
	if l.row.TotalUnits() > budgetCap {
		return true
	}
	for i := range l.row.Holders {
		holder := &l.row.Holders[i]
		if holder.ID != l.config.Self && holder.Wanted > holder.TotalUnits() {
			return true
		}
	}
	return false
}

// isLive reports whether another holder's nonce changed lately enough for the
// holder to count on its entry.
func (l *GrantLedger) isLive(holder *GrantHolder, now time.Time) bool {
	return holder.Nonce != "" && now.Sub(l.sightings[holder.ID].at) < l.config.reclaimAfter(true)
}

// limitInRow returns the least cap that any live holder of the row, this
// instance included, goes by.
func (l *GrantLedger) lowestLiveCap(now time.Time) savorystep.Slots {
	budgetCap := l.budgetCap
	for i := range l.row.Holders {
		holder := &l.row.Holders[i]
		if holder.ID != l.config.Self && l.isLive(holder, now) {
			budgetCap = min(budgetCap, holder.Cap)
		}
	}
	return budgetCap
}

// ReadAfter returns how long after the last read the row should be read again,
// false if there is no need for it. An instance that waits for units reads
// often. A holder of more than an equal part reads now and then, since it has
// to give units back when another instance wants some.
func (l *GrantLedger) ReadInterval(demand GrantDemand) (time.Duration, bool) {
	if !l.rowKnown || l.hasUnknownOutcome {
		return 0, true
	}
	own := l.row.Holder(l.config.Self)
	budgetCap := l.lowestLiveCap(l.checkedAt)
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

// Suspects reports whether it matters if other holders have ended: grants is
// true if a holder's grant is past its lifetime, slots if a holder that does
// not renew has floor slots.
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

// nextNonce returns a nonce that no other write has.
func (l *GrantLedger) nextNonce() GrantNonce {
	l.nonceSequence++
	return GrantNonce(string(l.config.Self) + "#" + strconv.FormatUint(l.nonceSequence, 36))
}

// IsGone reports whether the row as last read holds nothing of this instance
// and no write of unknown outcome can change that.
func (l *GrantLedger) HoldsNothing() bool {
	own := l.row.Holder(l.config.Self)
	return l.rowKnown && !l.hasOpenWrites && own.isEmpty()
}
