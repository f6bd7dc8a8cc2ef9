package store

import (
	"fmt"
	"sync"
	"time"

	"savorystep"
)

// A budget is this instance's part of one budget.
type budget struct {
	name  savorystep.BudgetName
	key   savorystep.RowKey
	owner *Budgets
	// full is the error of Acquire, made once.
	full error

	mu        sync.Mutex
	ledger    *GrantLedger
	allowance GrantAllowance
	inFlight  savorystep.Slots
	limit     savorystep.Slots
	meter     demandMeter
	// used is the time of the last Acquire.
	used time.Time
	// active is true while the worker looks after the budget, woken while it
	// has been asked to do so at once.
	active, woken bool
	// state is the last state that was recorded as an event.
	state string
	holds []budgetHold
}

// acquire takes one unit.
func (b *budget) acquire(now time.Time, limit savorystep.Slots) (savorystep.Permit, error) {
	b.mu.Lock()
	b.used = now
	if limit != b.limit || !b.active {
		b.limit = limit
		b.ledger.SetLimit(now, limit)
		b.allowance = b.ledger.Allowance()
		b.wake()
	}
	b.meter.roll(now, b.inFlight)
	admit := b.allowance.Admit(now)
	if b.inFlight >= admit {
		b.meter.refuse(now, b.inFlight)
		b.wake()
		b.mu.Unlock()
		return nil, b.full
	}
	b.inFlight++
	b.meter.acquired(b.inFlight)
	if b.inFlight == admit {
		b.wake()
	}
	if len(b.holds) == 0 {
		b.holds = make([]budgetHold, holdChunk)
	}
	hold := &b.holds[0]
	b.holds = b.holds[1:]
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
	return !hold.released && b.inFlight <= b.allowance.Usable(now)
}

// wake asks the worker to look at the budget. The budget must be locked.
func (b *budget) wake() {
	if b.active && b.woken {
		return
	}
	b.active, b.woken = true, true
	select {
	case b.owner.wakeup <- struct{}{}:
	default:
	}
}

// demand returns what this instance needs. The budget must be locked.
func (b *budget) demand(now time.Time, ended map[savorystep.InstanceID]bool, leaving bool) GrantDemand {
	need := b.meter.need(now, b.inFlight)
	idle := now.Sub(b.used) >= b.owner.config.Idle && b.inFlight == 0
	return GrantDemand{InFlight: b.inFlight, Need: need, Leaving: leaving || idle, Ended: ended}
}

// A budgetLook is what the worker should do for a budget.
type budgetLook struct {
	// active is false if there is nothing left to do.
	active bool
	// read is true if the row should be read.
	read bool
	// grants and slots are those of GrantLedger.Suspects.
	grants, slots bool
	// event is the text of a change for the time line, or empty.
	event string
}

// look begins a round of the worker. It makes the budget inactive if there is
// nothing left to do.
func (b *budget) look(now time.Time, ended map[savorystep.InstanceID]bool, leaving bool) budgetLook {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return budgetLook{}
	}
	b.woken = false
	demand := b.demand(now, ended, leaving)
	if demand.Leaving && b.inFlight == 0 && b.ledger.IsGone() {
		b.active = false
		return budgetLook{}
	}
	look := budgetLook{active: true, read: b.ledger.IsReadDue(now, demand), event: b.change(now)}
	look.grants, look.slots = b.ledger.Suspects(now)
	return look
}

// change returns a sentence if the budget fell to its floor, was held, or
// recovered since the last look. The budget must be locked.
func (b *budget) change(now time.Time) string {
	var state string
	switch {
	case b.allowance.Held:
		state = "held until the sum fits the lowered cap"
	case b.allowance.Total > b.allowance.Floor && !now.Before(b.allowance.Expiry):
		state = fmt.Sprintf("at its floor of %d units, the grant expired", b.allowance.Floor)
	default:
	}
	if state == b.state {
		return ""
	}
	b.state = state
	if state == "" {
		state = "back to normal"
	}
	return fmt.Sprintf("Budget %s is %s.", b.name, state)
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
func (b *budget) propose(now time.Time, ended map[savorystep.InstanceID]bool, leaving, batch bool) (GrantProposal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return GrantProposal{}, false
	}
	demand := b.demand(now, ended, leaving)
	demand.Batch = batch
	proposal, ok := b.ledger.Propose(now, demand)
	b.allowance = b.ledger.Allowance()
	return proposal, ok
}

// settle takes the outcome of a proposal.
func (b *budget) settle(proposal GrantProposal, version savorystep.RowVersion, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Committed(proposal, version, at)
	b.allowance = b.ledger.Allowance()
}

// lose notes that the outcome of a proposal is unknown.
func (b *budget) lose() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Unknown()
	b.allowance = b.ledger.Allowance()
}
