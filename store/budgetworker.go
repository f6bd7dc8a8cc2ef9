package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

const budgetLog = savorystep.Logger("store")

// maxCommitAttempts limits the transactions of a round that contain new
// proposals to maxCommitAttempts-1. Budgets that conflict in the last of them or
// later wait for the next round; the other writes are sent again without them.
const maxCommitAttempts = 4

// The minimum time between two reads of the instance list:
// grantHolderListPeriod while a holder has not renewed its grant in time,
// slotHolderListPeriod while only holders without a grant have not renewed. A
// holder with floor slots only does not renew while it is idle, so the list may
// be needed for as long as it is idle, and a late result does little harm.
const (
	grantHolderListPeriod = 5 * time.Second
	slotHolderListPeriod  = time.Minute
)

// maxConcurrentReads bounds the row reads in flight.
const maxConcurrentReads = 8

// minRoundGap is the minimum time between two rounds. Each refused Acquire
// requests a round; the gap bounds the work that this causes.
const minRoundGap = 5 * time.Millisecond

// maxBackoff bounds the delay between two rounds while the platform is
// unavailable.
const maxBackoff = 2 * time.Second

// A budgetWorker reads and writes the rows of all budgets in use. It runs in a
// single goroutine.
type budgetWorker struct {
	budgets             *Budgets
	endedInstances      map[savorystep.InstanceID]bool
	listReadAt          time.Time
	consecutiveFailures int
	// conflictRounds counts the consecutive rounds that ended with a conflict.
	conflictRounds int
	// nextRoundAt is the earliest time of the next round.
	nextRoundAt time.Time
}

// A budgetWrite is the encoded proposal of a budget.
type budgetWrite struct {
	budget   *budget
	proposal GrantProposal
	value    []byte
}

// round processes all budgets once and reports whether any of them is in use.
func (w *budgetWorker) round(ctx context.Context, stopping bool) bool {
	now := w.budgets.config.Clock.Now()
	active, toRead, listPeriod := w.planRound(now, stopping)
	if len(active) == 0 {
		return false
	}
	if listPeriod > 0 && now.Sub(w.listReadAt) >= listPeriod {
		w.readInstanceList(ctx, now)
	}
	if !w.readRows(ctx, toRead) {
		return true
	}
	w.writeRows(ctx, active, stopping)
	return true
}

// planRound returns the budgets in use, those whose rows should be read, and
// the minimum time between reads of the instance list, 0 if the list is not
// needed.
func (w *budgetWorker) planRound(now time.Time, stopping bool) (active, toRead []*budget, listPeriod time.Duration) {
	for _, b := range *w.budgets.byName.Load() {
		nextWork := b.nextWork(now, w.endedInstances, stopping)
		if !nextWork.active {
			continue
		}
		active = append(active, b)
		if nextWork.needsRead {
			toRead = append(toRead, b)
		}
		if nextWork.eventText != "" {
			w.budgets.recordEvent(nextWork.eventText)
		}
		switch {
		case nextWork.checkGrantHolders:
			listPeriod = grantHolderListPeriod
		case nextWork.checkSlotHolders && listPeriod == 0:
			listPeriod = slotHolderListPeriod
		default:
		}
	}
	byKey := func(a, b *budget) int { return strings.Compare(string(a.key), string(b.key)) }
	slices.SortFunc(active, byKey)
	slices.SortFunc(toRead, byKey)
	return active, toRead, listPeriod
}

// readInstanceList updates the set of ended instances.
func (w *budgetWorker) readInstanceList(ctx context.Context, now time.Time) {
	w.listReadAt = now
	if w.budgets.config.Registry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.budgets.config.Timeout)
	defer cancel()
	instances, err := w.budgets.config.Registry.Instances(ctx)
	if err != nil {
		budgetLog.Debugf("read instance list: %v", err)
		return
	}
	for i := range instances {
		if instances[i].State == savorystep.StateEnded {
			w.endedInstances[instances[i].ID] = true
		}
	}
}

// readRows reads the rows of budgets. After a failure it first reads a single
// row, so that each round during an outage costs one call, however many budgets
// are in use.
func (w *budgetWorker) readRows(ctx context.Context, toRead []*budget) bool {
	if len(toRead) == 0 {
		return true
	}
	if w.consecutiveFailures > 0 {
		if err := w.readRow(ctx, toRead[0]); err != nil {
			w.recordFailure("read", err)
			return false
		}
		toRead = toRead[1:]
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, b := range toRead {
		group.Go(func() error { return w.readRow(ctx, b) })
	}
	if err := group.Wait(); err != nil {
		w.recordFailure("read", err)
		return false
	}
	w.consecutiveFailures = 0
	return true
}

// readRow reads the row of a budget and passes it to the budget's ledger.
func (w *budgetWorker) readRow(ctx context.Context, b *budget) error {
	row, err := w.getRow(ctx, b.key)
	if err != nil {
		return err
	}
	if err := b.observe(row, w.budgets.config.Clock.Now()); err != nil {
		budgetLog.Errorf("%v", err)
	}
	return nil
}

// getRow reads a row within the configured timeout.
func (w *budgetWorker) getRow(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, w.budgets.config.Timeout)
	defer cancel()
	return w.budgets.config.Table.Get(ctx, key)
}

// recordFailure counts a failed call to the platform and logs the first one in
// a row.
func (w *budgetWorker) recordFailure(operation string, err error) {
	w.consecutiveFailures++
	if w.consecutiveFailures == 1 {
		budgetLog.Warningf("%s of budget rows failed: %v", operation, err)
	}
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
	var txn savorystep.Txn
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

// nextRoundDelay returns the delay until the next round. The delay grows while
// the platform is unavailable and is random after conflicts, so that instances
// that conflicted do not conflict again.
func (w *budgetWorker) nextRoundDelay(roundPeriod time.Duration) time.Duration {
	delay, minGap := roundPeriod, minRoundGap
	switch {
	case w.consecutiveFailures > 0:
		backoff := min(roundPeriod<<min(w.consecutiveFailures, 6), maxBackoff)
		delay = backoff/2 + rand.N(backoff/2+1)
		minGap = delay
	case w.conflictRounds > 0:
		delay = roundPeriod/10 + rand.N(roundPeriod/5+1)
		minGap = delay
	}
	w.nextRoundAt = time.Now().Add(minGap)
	return delay
}

// untilNextRound returns how long a requested round has to wait.
func (w *budgetWorker) untilNextRound() time.Duration {
	return time.Until(w.nextRoundAt)
}
