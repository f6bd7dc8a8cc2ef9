package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
)

var (
	_ savorystep.Budgets = &Budgets{}
	_ savorystep.Runner  = &Budgets{}
)

// Budgets hands out the units that the rows of the budgets reserve for this
// instance: its grants and floor slots.
//
// Acquire and Release lock the budget's mutex, which is never held during a
// call to the platform. The mutexes of two budgets are never held at the same
// time.
type Budgets struct {
	config BudgetsConfig
	wakeup chan struct{}
	worker *budgetWorker

	// mu serializes replacements of the map in byName. A stored map is never
	// modified.
	mu     sync.Mutex
	byName atomic.Pointer[map[savorystep.BudgetName]*budget]
}

// NewBudgets returns Budgets whose worker has not been started.
func NewBudgets(config BudgetsConfig) *Budgets {
	b := &Budgets{config: config.withDefaults(), wakeup: make(chan struct{}, 1)}
	b.byName.Store(&map[savorystep.BudgetName]*budget{})
	b.worker = newBudgetWorker(b)
	return b
}

// Acquire takes one unit of a budget with the given cap. It never waits for the
// platform. The error has kind KindCapReached if this instance's grant and
// floor slots are used up; the worker then requests more units in the
// background.
func (b *Budgets) Acquire(now time.Time, name savorystep.BudgetName, budgetCap savorystep.Slots) (savorystep.Permit, error) {
	found, ok := (*b.byName.Load())[name]
	if !ok {
		found = b.add(name)
	}
	return found.acquire(now, budgetCap)
}

// add returns the budget with the given name and creates it if necessary.
func (b *Budgets) add(name savorystep.BudgetName) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.byName.Load()
	if found, ok := old[name]; ok {
		return found
	}
	added := &budget{
		name:         name,
		key:          budgetRowKey(name),
		budgets:      b,
		errExhausted: savorystep.NewError(savorystep.KindCapReached, "budget %s has no unit available at this instance", name),
		ledger:       NewGrantLedger(b.config.GrantLedgerConfig),
	}
	next := make(map[savorystep.BudgetName]*budget, len(old)+1)
	for key, value := range old {
		next[key] = value
	}
	next[name] = added
	b.byName.Store(&next)
	return added
}

// Start starts the worker. When ctx is cancelled, the worker returns the unused
// grant units and floor slots within the configured time, then the channel
// yields the cause of the cancellation.
func (b *Budgets) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		b.run(ctx)
		done <- context.Cause(ctx)
	}()
	return done
}

// run runs rounds until ctx ends, then returns the unused units.
func (b *Budgets) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			b.returnUnused(ctx)
			return
		case <-b.wakeup:
			if wait := b.worker.untilNextRound(); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-timer.C:
		}
		if b.worker.round(ctx, false) {
			timer.Reset(b.worker.nextRoundDelay(b.config.RoundPeriod))
		}
	}
}

// returnUnused returns unused grant units and floor slots to the rows.
func (b *Budgets) returnUnused(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.config.ReturnTimeout)
	defer cancel()
	for b.worker.round(ctx, true) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(b.worker.nextRoundDelay(b.config.RoundPeriod / 5)):
		}
	}
}

// recordEvent records an event for the timeline.
func (b *Budgets) recordEvent(text string) {
	if b.config.EventRecorder != nil {
		b.config.EventRecorder.Record(savorystep.Event{Kind: savorystep.EventGrant, Text: text})
	}
}
