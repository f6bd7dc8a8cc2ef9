package store

import (
	"context"
	"fmt"
	"slices"
	"time"

	"savorystep"
)

// maxCommitAttempts limits the transactions of a round that contain new
// proposals to maxCommitAttempts-1. Budgets that conflict in the last of them or
// later wait for the next round; the other writes are sent again without them.
const maxCommitAttempts = 4

// A budgetWrite is the encoded proposal of a budget.
type budgetWrite struct {
	budget   *budget
	proposal GrantProposal
	value    []byte
}

// writeRows proposes the next rows and commits them in one transaction. Rows
// that conflict are left out: the others are sent again at once, and the
// budgets that conflicted make new proposals from the rows that came with the
// conflict.
func (w *budgetWorker) writeRows(ctx context.Context, active []*budget, stopping bool) {
	writes := w.propose(active, stopping, false)
	if len(writes) == 0 {
		return
	}
	writes = append(writes, w.propose(unwritten(active, writes), stopping, true)...)
	for retries := 0; len(writes) > 0; retries++ {
		commit, err := w.commit(ctx, writes)
		at := w.budgets.config.Clock.Now()
		if err != nil {
			for i := range writes {
				writes[i].budget.recordUnknownOutcome()
			}
			w.recordFailure("commit", err)
			return
		}
		w.consecutiveFailures = 0
		w.guard.observe(commit.Era, at)
		if commit.IsOtherEra() || commit.Era.OrFirst() != writes[0].proposal.Era {
			for i := range writes {
				writes[i].budget.recordUnknownOutcome()
			}
			return
		}
		if len(commit.Conflicts) == 0 {
			w.recordCommit(writes, commit.Version, at)
			w.conflictRounds = 0
			return
		}
		writes = w.handleConflicts(writes, commit.Conflicts, at, stopping, retries+2 < maxCommitAttempts)
	}
	w.conflictRounds++
}

// propose collects the proposals of budgets.
func (w *budgetWorker) propose(budgets []*budget, stopping, piggyback bool) []budgetWrite {
	var writes []budgetWrite
	for _, b := range budgets {
		proposal, ok := b.propose(w.budgets.config.Clock.Now(), w.endedInstances, stopping, piggyback)
		if !ok {
			continue
		}
		if proposal.Era != w.guard.current() {
			b.recordUnknownOutcome() // The row has to be read in the later era.
			continue
		}
		value, err := proposal.Row.encode()
		if err != nil {
			budgetLog.Errorf("encode budget row %s: %v", b.key, err)
			continue
		}
		writes = append(writes, budgetWrite{budget: b, proposal: proposal, value: value})
	}
	return writes
}

// unwritten returns the budgets that are not among the writes.
func unwritten(budgets []*budget, writes []budgetWrite) []*budget {
	var rest []*budget
	for _, b := range budgets {
		if !slices.ContainsFunc(writes, func(write budgetWrite) bool { return write.budget == b }) {
			rest = append(rest, b)
		}
	}
	return rest
}

// commit sends a transaction within the configured timeout.
func (w *budgetWorker) commit(ctx context.Context, writes []budgetWrite) (savorystep.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, w.budgets.config.Timeout)
	defer cancel()
	txn := savorystep.Txn{Era: writes[0].proposal.Era}
	for i := range writes {
		key := writes[i].budget.key
		txn.Conditions = append(txn.Conditions, savorystep.Condition{Key: key, Version: writes[i].proposal.BaseVersion})
		txn.Writes = append(txn.Writes, savorystep.Write{Key: key, Value: writes[i].value})
	}
	return w.budgets.config.Table.Commit(ctx, txn)
}

// recordCommit records that writes took effect.
func (w *budgetWorker) recordCommit(writes []budgetWrite, version savorystep.RowVersion, at time.Time) {
	for i := range writes {
		write := &writes[i]
		write.budget.recordCommit(write.proposal, version, at)
		for _, id := range write.proposal.ReclaimedFrom {
			w.budgets.recordEvent(fmt.Sprintf("Reclaimed units of %s in %s.", id, write.budget.name))
		}
	}
}

// handleConflicts records the rows that came with conflicts and returns the
// writes that did not conflict. If repropose is true, it adds new proposals for
// the budgets that conflicted.
func (w *budgetWorker) handleConflicts(writes []budgetWrite, conflicts []savorystep.Row, at time.Time, stopping, repropose bool) []budgetWrite {
	var next []budgetWrite
	var conflicted []*budget
	for _, write := range writes {
		index := slices.IndexFunc(conflicts, func(row savorystep.Row) bool { return row.Key == write.budget.key })
		if index < 0 {
			next = append(next, write)
			continue
		}
		if err := write.budget.observe(conflicts[index], at); err != nil {
			budgetLog.Errorf("%v", err)
			continue
		}
		conflicted = append(conflicted, write.budget)
	}
	if repropose {
		next = append(next, w.propose(conflicted, stopping, false)...)
	}
	return next
}
