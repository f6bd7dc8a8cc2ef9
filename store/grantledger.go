package store

import (
	"strconv"
	"time"

	"savorystep"
)

// A GrantLedger makes the decisions of one instance about one budget: the next
// content of the budget's row, and how many units this instance may have in
// use. It performs no I/O and reads no clock; every time is an argument that
// carries this instance's monotonic clock reading. It is not safe for
// concurrent use.
//
// The units that all instances use together stay within the cap because of
// these rules:
//
//   - An instance uses only the units that the row reserves for it. Units move
//     between instances only by compare-and-set on the row version that was
//     read.
//   - A write with an unknown outcome may still take effect while the row has
//     the version that the write is conditioned on. Until that version changes,
//     the instance uses only the minimum of its entry in the row and of all its
//     open writes.
//   - The holder uses a grant for the grant lifetime, counted from before the
//     write was sent. Another instance reclaims the grant after it has seen the
//     same nonce for longer than that, counted from after its read. It watches
//     the nonce instead of the row version, because every renewal by any holder
//     changes the version.
//   - Requests in flight when a grant expires still load the upstream. They
//     count against the holder's floor and its next grant. Unless the platform
//     lists the holder as ended, its grant is reclaimed only after another
//     maximum request time. See docs/decisions/grants.md.
//   - A floor slot is reclaimed only once the platform lists its holder as
//     ended.
//   - A grant never shrinks below the number of units in flight.
//   - Each entry records the cap in force at its holder, and the lowest of them
//     applies. An instance that has received a lower cap admits nothing until
//     the row records the lower cap and the sum of the row is within it.
//   - After a restore of the table, an instance writes its entry again, and gets
//     no further units until all grants of the lost rows have ended. If the cap
//     was lowered, it admits nothing until then.
type GrantLedger struct {
	config GrantLedgerConfig

	// rowKnown is true once the row has been read. row is its content at
	// version, last confirmed at checkedAt.
	rowKnown  bool
	era       savorystep.StoreEra
	version   savorystep.RowVersion
	row       GrantRow
	checkedAt time.Time

	// sightings maps each holder to its nonce and to the time when this ledger
	// first saw that nonce.
	sightings map[savorystep.InstanceID]nonceSighting
	// ownWrites maps the nonces of this instance's writes to when they were
	// sent, which is when the lifetimes of their grants begin.
	ownWrites     map[GrantNonce]sentWrite
	nonceSequence uint64
	// lastWriteAt and lastNonce describe this instance's last write.
	lastWriteAt time.Time
	lastNonce   GrantNonce

	// hasOpenWrites is true while writes conditioned on version have no known
	// outcome. openTotal and openFloor are the smallest totals and floors that
	// these writes would give this instance.
	hasOpenWrites        bool
	openTotal, openFloor savorystep.Slots
	// hasUnknownOutcome is true if a write ended with an unknown outcome and
	// the row has not been read since.
	hasUnknownOutcome bool

	// budgetCap is the cap in force at this instance, since capSetAt.
	budgetCap savorystep.Slots
	capSetAt  time.Time
	// capReductions counts how often the cap was lowered. capReductionsInRow is
	// the count at the time when this instance's entry in the row was written;
	// while it is smaller, the row does not record the lowered cap yet.
	capReductions, capReductionsInRow uint64

	// admissionCeiling is the fair share from the last proposal.
	admissionCeiling savorystep.Slots

	// guard is open until the grants that a restored table may lack have ended.
	guard *restoreGuard
	// held is this instance's entry of before a restore. It replaces the one in the
	// row until the table has it again, then it is nil.
	held *GrantHolder
	// isSumUnknown is true from a restore until the first read after its end if the
	// units in use may exceed a lowered cap although the sum of the row is within it.
	isSumUnknown bool
}

// A nonceSighting is a nonce and the time when it was first seen.
type nonceSighting struct {
	nonce GrantNonce
	at    time.Time
}

// A sentWrite holds the time when a write was sent, its era and the number of cap
// reductions known by then. They are needed once the write is found in the row.
type sentWrite struct {
	at            time.Time
	era           savorystep.StoreEra
	capReductions uint64
}

// A GrantDemand is the demand of one instance for the units of a budget.
type GrantDemand struct {
	// InFlight is the number of units in use now.
	InFlight savorystep.Slots
	// PeakNeed is the recent peak of units in use plus units refused at the
	// same time.
	PeakNeed savorystep.Slots
	// ReturnUnused makes the instance give back all units that are not in
	// flight.
	ReturnUnused bool
	// Piggyback is true if the row would be written in a transaction that is
	// sent anyway for other budgets.
	Piggyback bool
	// EndedInstances holds the instances that the platform lists as ended.
	EndedInstances map[savorystep.InstanceID]bool
}

// A GrantProposal is a conditional write of a budget's row.
type GrantProposal struct {
	// BaseVersion is the row version that the write is conditioned on, in Era.
	BaseVersion savorystep.RowVersion
	Era         savorystep.StoreEra
	Nonce       GrantNonce
	Row         GrantRow
	// ReclaimedFrom lists the other holders whose grant units or floor slots
	// the write reclaims.
	ReclaimedFrom []savorystep.InstanceID
}

// NewGrantLedger returns a ledger that has not read the row yet.
func NewGrantLedger(config GrantLedgerConfig) *GrantLedger {
	config = config.withDefaults()
	return &GrantLedger{
		config:    config,
		era:       savorystep.FirstStoreEra,
		guard:     newRestoreGuard(config.restoreWindow(), config.GrantLifetime/2),
		sightings: make(map[savorystep.InstanceID]nonceSighting),
		ownWrites: make(map[GrantNonce]sentWrite),
	}
}

// SetCap sets the budget's cap that is in force at this instance.
func (l *GrantLedger) SetCap(now time.Time, budgetCap savorystep.Slots) {
	if budgetCap == l.budgetCap && !l.capSetAt.IsZero() {
		return
	}
	if budgetCap < l.budgetCap {
		l.capReductions++
		l.isSumUnknown = l.isSumUnknown || l.guard.isOpen()
	}
	l.budgetCap = budgetCap
	l.capSetAt = now
}

// Observe records the row as it was read or returned with a conflict. The time
// must be taken after the response arrived. A row older than the known one is
// ignored. The error has kind KindInternal if the row can't be decoded.
func (l *GrantLedger) Observe(row savorystep.Row, at time.Time) error {
	era := row.Era.OrFirst()
	if l.rowKnown && (era < l.era || era == l.era && row.Version < l.version) {
		return nil
	}
	if l.rowKnown && era == l.era && row.Version == l.version {
		l.observeEra(at)
		l.checkedAt = at
		l.hasUnknownOutcome = false
		return nil
	}
	decoded, err := decodeGrantRow(row)
	if err != nil {
		return err
	}
	if era > l.era {
		l.beginRestore(era, at)
	}
	l.observeEra(at)
	l.adopt(decoded, row.Version, at)
	return nil
}

// RecordCommit records that a proposal took effect and gave the row the
// version. The time must be taken after the response arrived.
func (l *GrantLedger) RecordCommit(proposal GrantProposal, version savorystep.RowVersion, at time.Time) {
	if proposal.Era == l.era && version > l.version {
		l.observeEra(at)
		l.held = nil
		l.adopt(proposal.Row, version, at)
	}
}

// RecordUnknownOutcome records that the outcome of a proposal is unknown.
func (l *GrantLedger) RecordUnknownOutcome() {
	l.hasUnknownOutcome = true
}

// adopt replaces the known row by a newer one. Writes conditioned on an older
// version can no longer take effect.
func (l *GrantLedger) adopt(row GrantRow, version savorystep.RowVersion, at time.Time) {
	l.restoreHeld(&row)
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
		// The last write did not take effect, so the minimum write interval
		// does not apply to the next one.
		l.lastWriteAt = time.Time{}
	}
	if ownWrite, ok := l.ownWrites[own.Nonce]; ok {
		l.capReductionsInRow = ownWrite.capReductions
	}
	for nonce, ownWrite := range l.ownWrites {
		if nonce != own.Nonce && at.Sub(ownWrite.at) >= l.config.GrantLifetime {
			delete(l.ownWrites, nonce)
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
	if ownWrite, ok := l.ownWrites[own.Nonce]; ok {
		allowance.Expiry = ownWrite.at.Add(l.config.GrantLifetime)
	}
	budgetCap := l.lowestLiveCap(l.checkedAt)
	if l.isSumUnknown || l.exceedsCap(budgetCap) {
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

// exceedsCap reports whether the row gives out more units than the cap, or does not
// record a lowered cap yet.
func (l *GrantLedger) exceedsCap(budgetCap savorystep.Slots) bool {
	return l.capReductionsInRow < l.capReductions || l.row.TotalUnits() > budgetCap
}

// isContended reports whether another instance wants more units than it has, or
// the row gives out more units than the cap.
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

// isLive reports whether another holder's nonce changed recently enough that
// the holder may still rely on its entry: within the grant lifetime and the
// reclaim margin, which reclaimAfter returns for an ended holder.
func (l *GrantLedger) isLive(holder *GrantHolder, now time.Time) bool {
	return holder.Nonce != "" && now.Sub(l.sightings[holder.ID].at) < l.config.reclaimAfter(true)
}

// lowestLiveCap returns the lowest cap in force at this instance or at any live
// holder of the row.
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

// nextNonce returns a nonce that is unique among all writes to the row.
func (l *GrantLedger) nextNonce() GrantNonce {
	l.nonceSequence++
	return GrantNonce(string(l.config.Self) + "#" + strconv.FormatUint(l.nonceSequence, 36))
}

// HoldsNothing reports whether the last read row reserves nothing for this
// instance and no write with an unknown outcome can change that.
func (l *GrantLedger) HoldsNothing() bool {
	own := l.row.Holder(l.config.Self)
	return l.rowKnown && !l.hasOpenWrites && l.held == nil && own.isEmpty()
}
