package store

import (
	"fmt"
	"sync"
	"time"

	"savorystep"
)

// A budget is this instance's part of one budget.
type budget struct {
	name    savorystep.BudgetName
	key     savorystep.RowKey
	budgets *Budgets
	// full is the error of Acquire, made once.
	errExhausted error

	mu        sync.Mutex
	ledger    *GrantLedger
	allowance GrantAllowance
	inFlight  savorystep.Slots
	budgetCap savorystep.Slots
	meter     demandMeter
	// used is the time of the last Acquire.
	lastAcquire time.Time
	// active is true while the worker looks after the budget, woken while it
	// has been asked to do so at once.
	active, wakePending bool
	// state is the last state that was recorded as an event.
	eventState string
	freeHolds  []budgetHold
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
	if len(b.freeHolds) == 0 {
		b.freeHolds = make([]budgetHold, holdsPerAllocation)
	}
	hold := &b.freeHolds[0]
	b.freeHolds = b.freeHolds[1:]
	hold.budget = b
	b.mu.Unlock()
	return hold, nil
}

// release gives back a hold's unit once.
func (b *budget) release(hold *budgetHold) {
	b.mu.Lock()
	if !hold.released {
		hold.released = true
		b.inFlight--
	}
	b.mu.Unlock()
}

// isValid reports whether a hold may be used.
func (b *budget) isValid(hold *budgetHold, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !hold.released && b.inFlight <= b.allowance.UsableUnits(now)
}

// wake asks the worker to look at the budget. The budget must be locked.
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

// demand returns what this instance needs. The budget must be locked.
func (b *budget) demand(now time.Time, endedInstances map[savorystep.InstanceID]bool, stopping bool) GrantDemand {
	peakNeed := b.meter.peakNeed(now, b.inFlight)
	idle := now.Sub(b.lastAcquire) >= b.budgets.config.IdleTimeout && b.inFlight == 0
	return GrantDemand{InFlight: b.inFlight, PeakNeed: peakNeed, ReturnUnused: stopping || idle, EndedInstances: endedInstances}
}

// A budgetLook is what the worker should do for a budget.
type budgetWork struct {
	// active is false if there is nothing left to do.
	active bool
	// read is true if the row should be read.
	needsRead bool
	// grants and slots are those of GrantLedger.Suspects.
	checkGrantHolders, checkSlotHolders bool
	// event is the text of a change for the time line, or empty.
	eventText string
}

// look begins a round of the worker. It makes the budget inactive if there is
// nothing left to do.
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

// change returns a sentence if the budget fell to its floor, was held, or
// recovered since the last look. The budget must be locked.
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

// observe takes a row.
func (b *budget) observe(row savorystep.Row, at time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.ledger.Observe(row, at)
	b.allowance = b.ledger.Allowance()
	return err
}

// propose returns the next row, if any.
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

// settle takes the outcome of a proposal.
func (b *budget) recordCommit(proposal GrantProposal, version savorystep.RowVersion, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.RecordCommit(proposal, version, at)
	b.allowance = b.ledger.Allowance()
}

// lose notes that the outcome of a proposal is unknown.
func (b *budget) recordUnknownOutcome() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.RecordUnknownOutcome()
	b.allowance = b.ledger.Allowance()
}
