package store

import (
	"context"

	"savorystep"
)

// budgetEraRowKey is the key of the row that says in which era the rows of budgets
// lack no grants any more.
const budgetEraRowKey savorystep.RowKey = "budgetera"

// newBudgetWorker returns the worker of budgets.
func newBudgetWorker(budgets *Budgets) *budgetWorker {
	ledgerConfig := budgets.config.GrantLedgerConfig.withDefaults()
	guard := newRestoreGuard(ledgerConfig.restoreWindow(), ledgerConfig.GrantLifetime/2)
	return &budgetWorker{
		budgets:        budgets,
		endedInstances: make(map[savorystep.InstanceID]bool),
		guard:          guard,
		marker:         &eraMarker{table: budgets.config.Table, clock: budgets.config.Clock, key: budgetEraRowKey, guard: guard},
		markedEra:      savorystep.FirstStoreEra,
	}
}

// followRestores notices restores of the table, and records when the rows lack no
// grants any more. It returns false if the table did not respond.
func (w *budgetWorker) followRestores(ctx context.Context) bool {
	if w.budgets.config.Era != nil {
		if era, at := w.budgets.config.Era(); !at.IsZero() {
			w.guard.observe(era, at)
		}
	}
	isLater := false
	select {
	case <-w.guard.laterEra:
		isLater = true
		budgetLog.Infof("table is in era %d, no further units until its restore is over", w.guard.current())
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, w.budgets.config.Timeout)
	defer cancel()
	era := w.guard.current()
	switch {
	case isLater:
		if err := w.marker.read(ctx); err != nil {
			w.recordFailure("read", err)
			return false
		}
	case era > w.markedEra && !w.guard.isOpen() && w.marker.write(ctx, era):
		w.markedEra = era
	default:
	}
	return true
}
