package store

import (
	"fmt"
	"sync"
	"time"

	"savorystep"
)

// A budget is the local state of one budget at this instance.
type budget struct {
	name    savorystep.BudgetName
	key     savorystep.RowKey
	budgets *Budgets
	// errExhausted is the error that Acquire returns while no unit is free. It
	// is created once, because Acquire runs for each request.
	errExhausted error

	mu        sync.Mutex
	ledger    *GrantLedger
	allowance GrantAllowance
	inFlight  savorystep.Slots
	budgetCap savorystep.Slots
	meter     demandMeter
	// lastAcquire is the time of the last call of Acquire.
	lastAcquire time.Time
	// active is true while the worker maintains the budget. wakePending is true
	// from a request for an immediate round until that round.
	active, wakePending bool
	// eventState is the last state that was recorded as an event, empty for the
	// normal state.
	eventState  string
	freePermits []budgetPermit
}

// acquire takes one unit.
func (b *budget) acquire(now time.Time, budgetCap savorystep.Slots) (savorystep.Permit, error) {
	b.mu.Lock()
	b.lastAcquire = now
	if budgetCap != b.budgetCap || !b.active {
		b.budgetCap = budgetCap
		b.ledger.SetCap(now, budgetCap)
		b.allowance = b.ledger.Allowance()
		b.wakeWorker()
	}
	b.meter.rollWindow(now, b.inFlight)
	maxInFlight := b.allowance.AdmissionLimit(now)
	if b.inFlight >= maxInFlight {
		b.meter.recordRefused(now, b.inFlight)
		b.wakeWorker()
		b.mu.Unlock()
		return nil, b.errExhausted
	}
	b.inFlight++
	b.meter.recordAcquired(b.inFlight)
	if b.inFlight == maxInFlight {
		b.wakeWorker()
	}
	if len(b.freePermits) == 0 {
		b.freePermits = make([]budgetPermit, permitsPerAllocation)
	}
	permit := &b.freePermits[0]
	b.freePermits = b.freePermits[1:]
	permit.budget = b
	b.mu.Unlock()
	return permit, nil
}

// release returns the unit of a permit. Repeated calls have no effect.
func (b *budget) release(permit *budgetPermit) {
	b.mu.Lock()
	if !permit.released {
		permit.released = true
		b.inFlight--
	}
	b.mu.Unlock()
}

// isValid reports whether the unit of a permit may still be used.
func (b *budget) isValid(permit *budgetPermit, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !permit.released && b.inFlight <= b.allowance.UsableUnits(now)
}

// wakeWorker requests an immediate round of the worker. The caller must hold
// b.mu.
func (b *budget) wakeWorker() {
	if b.active && b.wakePending {
		return
	}
	b.active, b.wakePending = true, true
	select {
	case b.budgets.wakeup <- struct{}{}:
	default:
	}
}

// demand returns the demand of this instance. The caller must hold b.mu.
func (b *budget) demand(now time.Time, endedInstances map[savorystep.InstanceID]bool, stopping bool) GrantDemand {
	peakNeed := b.meter.peakNeed(now, b.inFlight)
	idle := now.Sub(b.lastAcquire) >= b.budgets.config.IdleTimeout && b.inFlight == 0
	return GrantDemand{InFlight: b.inFlight, PeakNeed: peakNeed, ReturnUnused: stopping || idle, EndedInstances: endedInstances}
}

// A budgetWork describes what the worker has to do for a budget in one round.
type budgetWork struct {
	// active is false if the worker need not maintain the budget any more.
	active bool
	// needsRead is true if the row should be read.
	needsRead bool
	// checkGrantHolders and checkSlotHolders are the results of
	// GrantLedger.NeedsInstanceList.
	checkGrantHolders, checkSlotHolders bool
	// eventText describes a change of state for the event timeline. It is empty
	// if there was none.
	eventText string
}

// nextWork returns the work for a round of the worker. It deactivates a budget
// that is unused and holds nothing.
func (b *budget) nextWork(now time.Time, endedInstances map[savorystep.InstanceID]bool, stopping bool) budgetWork {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return budgetWork{}
	}
	b.wakePending = false
	demand := b.demand(now, endedInstances, stopping)
	if demand.ReturnUnused && b.inFlight == 0 && b.ledger.HoldsNothing() {
		b.active = false
		return budgetWork{}
	}
	nextWork := budgetWork{active: true, needsRead: b.ledger.IsReadDue(now, demand), eventText: b.stateChange(now)}
	nextWork.checkGrantHolders, nextWork.checkSlotHolders = b.ledger.NeedsInstanceList(now)
	return nextWork
}

// stateChange returns a sentence for the event timeline if the budget fell to
// its floor, was suspended or recovered since the last round, else "". The
// caller must hold b.mu.
func (b *budget) stateChange(now time.Time) string {
	var eventState string
	switch {
	case b.allowance.Suspended:
		eventState = "held until the sum fits the lowered cap"
	case b.allowance.TotalUnits > b.allowance.FloorUnits && !now.Before(b.allowance.Expiry):
		eventState = fmt.Sprintf("at its floor of %d units, the grant expired", b.allowance.FloorUnits)
	default:
	}
	if eventState == b.eventState {
		return ""
	}
	b.eventState = eventState
	if eventState == "" {
		eventState = "back to normal"
	}
	return fmt.Sprintf("Budget %s is %s.", b.name, eventState)
}

// followEra lets the ledger know the era of the table and the end of its restore.
func (b *budget) followEra(guard *restoreGuard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	era := guard.current()
	b.ledger.NoteEra(era)
	if !guard.isOpen() {
		b.ledger.EndRestore(era)
	}
}

// observe records a row that was read at the given time.
func (b *budget) observe(row savorystep.Row, at time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.ledger.Observe(row, at)
	b.allowance = b.ledger.Allowance()
	return err
}

// propose returns the next write of the row, if any.
func (b *budget) propose(now time.Time, endedInstances map[savorystep.InstanceID]bool, stopping, piggyback bool) (GrantProposal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return GrantProposal{}, false
	}
	demand := b.demand(now, endedInstances, stopping)
	demand.Piggyback = piggyback
	proposal, ok := b.ledger.Propose(now, demand)
	b.allowance = b.ledger.Allowance()
	return proposal, ok
}

// recordCommit records that a proposal took effect.
func (b *budget) recordCommit(proposal GrantProposal, version savorystep.RowVersion, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.RecordCommit(proposal, version, at)
	b.allowance = b.ledger.Allowance()
}

// recordUnknownOutcome records that the outcome of a proposal is unknown.
func (b *budget) recordUnknownOutcome() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.RecordUnknownOutcome()
	b.allowance = b.ledger.Allowance()
}
