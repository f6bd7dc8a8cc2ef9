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

// maxCommitRounds bounds how often a transaction is sent again without the
// rows that conflicted. Budgets that still conflict wait for the next round.
const maxCommitRounds = 4

// The least time between two reads of the instance list. A holder that has
// only floor slots does not renew while it is idle, so that the question
// whether it has ended is open for long and not urgent.
const (
	grantListPeriod = 5 * time.Second
	slotListPeriod  = time.Minute
)

// maxReads is the number of rows read at the same time.
const maxReads = 8

// minRoundGap is the least time between two rounds. Each refused Acquire asks
// for a round; the gap bounds the work that this causes.
const minRoundGap = 5 * time.Millisecond

// maxBackoff bounds the pause between two rounds while the platform is down.
const maxBackoff = 2 * time.Second

// A budgetWorker reads and writes the rows of all budgets in use. Only one
// goroutine runs it.
type budgetWorker struct {
	budgets  *Budgets
	ended    map[savorystep.InstanceID]bool
	listed   time.Time
	failures int
	// conflicts counts the rounds in a row that ended with a conflict.
	conflicts int
	// next is the earliest time of the next round.
	next time.Time
}

// A budgetWrite is a proposal on its way to the table.
type budgetWrite struct {
	budget   *budget
	proposal GrantProposal
	value    []byte
}

// round looks at all budgets once and reports whether any of them is in use.
func (w *budgetWorker) round(ctx context.Context, leaving bool) bool {
	now := w.budgets.config.Clock.Now()
	active, reads, period := w.survey(now, leaving)
	if len(active) == 0 {
		return false
	}
	if period > 0 && now.Sub(w.listed) >= period {
		w.list(ctx, now)
	}
	if !w.read(ctx, reads) {
		return true
	}
	w.write(ctx, active, leaving)
	return true
}

// survey returns the budgets in use and those whose rows should be read, and
// how often the instance list should be read, 0 for not at all.
func (w *budgetWorker) survey(now time.Time, leaving bool) (active, reads []*budget, period time.Duration) {
	for _, b := range *w.budgets.byName.Load() {
		look := b.look(now, w.ended, leaving)
		if !look.active {
			continue
		}
		active = append(active, b)
		if look.read {
			reads = append(reads, b)
		}
		if look.event != "" {
			w.budgets.record(look.event)
		}
		switch {
		case look.grants:
			period = grantListPeriod
		case look.slots && period == 0:
			period = slotListPeriod
		default:
		}
	}
	byKey := func(a, b *budget) int { return strings.Compare(string(a.key), string(b.key)) }
	slices.SortFunc(active, byKey)
	slices.SortFunc(reads, byKey)
	return active, reads, period
}

// list reads which instances have ended.
func (w *budgetWorker) list(ctx context.Context, now time.Time) {
	w.listed = now
	if w.budgets.config.Registry == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.budgets.config.Timeout)
	defer cancel()
	instances, err := w.budgets.config.Registry.Instances(ctx)
	if err != nil {
		budgetLog.Debugf("instance list: %v", err)
		return
	}
	for i := range instances {
		if instances[i].State == savorystep.StateEnded {
			w.ended[instances[i].ID] = true
		}
	}
}

// read reads rows. While the platform is down it tries one row only, so that
// an outage costs one call in each round however many budgets are in use.
func (w *budgetWorker) read(ctx context.Context, reads []*budget) bool {
	if len(reads) == 0 {
		return true
	}
	if w.failures > 0 {
		if err := w.readOne(ctx, reads[0]); err != nil {
			w.failed("read", err)
			return false
		}
		reads = reads[1:]
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxReads)
	for _, b := range reads {
		group.Go(func() error { return w.readOne(ctx, b) })
	}
	if err := group.Wait(); err != nil {
		w.failed("read", err)
		return false
	}
	w.failures = 0
	return true
}

// readOne reads the row of one budget.
func (w *budgetWorker) readOne(ctx context.Context, b *budget) error {
	row, err := w.get(ctx, b.key)
	if err != nil {
		return err
	}
	if err := b.observe(row, w.budgets.config.Clock.Now()); err != nil {
		budgetLog.Errorf("%v", err)
	}
	return nil
}

// get reads one row within the timeout.
func (w *budgetWorker) get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, w.budgets.config.Timeout)
	defer cancel()
	return w.budgets.config.Table.Get(ctx, key)
}

// failed notes that the platform did not answer.
func (w *budgetWorker) failed(what string, err error) {
	w.failures++
	if w.failures == 1 {
		budgetLog.Warningf("%s of budgets failed: %v", what, err)
	}
}

// write proposes the next rows and commits them in one transaction. Rows that
// conflict drop out: the others are sent again at once, and the conflicting
// budgets propose anew from the rows that came with the conflict.
func (w *budgetWorker) write(ctx context.Context, active []*budget, leaving bool) {
	writes := w.propose(active, leaving, false)
	if len(writes) == 0 {
		return
	}
	writes = append(writes, w.propose(without(active, writes), leaving, true)...)
	for try := 0; len(writes) > 0; try++ {
		commit, err := w.commit(ctx, writes)
		at := w.budgets.config.Clock.Now()
		if err != nil {
			for i := range writes {
				writes[i].budget.lose()
			}
			w.failed("commit", err)
			return
		}
		w.failures = 0
		if len(commit.Conflicts) == 0 {
			w.settle(writes, commit.Version, at)
			w.conflicts = 0
			return
		}
		writes = w.dropConflicts(writes, commit.Conflicts, at, leaving, try+2 < maxCommitRounds)
	}
	w.conflicts++
}

// propose collects the proposals of budgets.
func (w *budgetWorker) propose(budgets []*budget, leaving, batch bool) []budgetWrite {
	var writes []budgetWrite
	for _, b := range budgets {
		proposal, ok := b.propose(w.budgets.config.Clock.Now(), w.ended, leaving, batch)
		if !ok {
			continue
		}
		value, err := proposal.Row.encode()
		if err != nil {
			budgetLog.Errorf("encode %s: %v", b.key, err)
			continue
		}
		writes = append(writes, budgetWrite{budget: b, proposal: proposal, value: value})
	}
	return writes
}

// without returns the budgets that are not among the writes.
func without(budgets []*budget, writes []budgetWrite) []*budget {
	var rest []*budget
	for _, b := range budgets {
		if !slices.ContainsFunc(writes, func(write budgetWrite) bool { return write.budget == b }) {
			rest = append(rest, b)
		}
	}
	return rest
}

// commit sends one transaction.
func (w *budgetWorker) commit(ctx context.Context, writes []budgetWrite) (savorystep.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, w.budgets.config.Timeout)
	defer cancel()
	var txn savorystep.Txn
	for i := range writes {
		key := writes[i].budget.key
		txn.Conditions = append(txn.Conditions, savorystep.Condition{Key: key, Version: writes[i].proposal.Base})
		txn.Writes = append(txn.Writes, savorystep.Write{Key: key, Value: writes[i].value})
	}
	return w.budgets.config.Table.Commit(ctx, txn)
}

// settle takes note of writes that took effect.
func (w *budgetWorker) settle(writes []budgetWrite, version savorystep.RowVersion, at time.Time) {
	for i := range writes {
		write := &writes[i]
		write.budget.settle(write.proposal, version, at)
		for _, id := range write.proposal.Reclaimed {
			w.budgets.record(fmt.Sprintf("Reclaimed units of %s in %s.", id, write.budget.name))
		}
	}
}

// dropConflicts observes the rows that came with conflicts and returns the
// writes that did not conflict, together with new proposals for the others if
// again is true.
func (w *budgetWorker) dropConflicts(writes []budgetWrite, conflicts []savorystep.Row, at time.Time, leaving, again bool) []budgetWrite {
	var kept []budgetWrite
	var conflicted []*budget
	for _, write := range writes {
		index := slices.IndexFunc(conflicts, func(row savorystep.Row) bool { return row.Key == write.budget.key })
		if index < 0 {
			kept = append(kept, write)
			continue
		}
		if err := write.budget.observe(conflicts[index], at); err != nil {
			budgetLog.Errorf("%v", err)
			continue
		}
		conflicted = append(conflicted, write.budget)
	}
	if again {
		kept = append(kept, w.propose(conflicted, leaving, false)...)
	}
	return kept
}

// pause returns the time to the next round. It grows while the platform is
// down and is random after conflicts, so that instances that collided do not
// collide again.
func (w *budgetWorker) pause(tick time.Duration) time.Duration {
	wait, hold := tick, minRoundGap
	switch {
	case w.failures > 0:
		backoff := min(tick<<min(w.failures, 6), maxBackoff)
		wait = backoff/2 + rand.N(backoff/2+1)
		hold = wait
	case w.conflicts > 0:
		wait = tick/10 + rand.N(tick/5+1)
		hold = wait
	}
	w.next = time.Now().Add(hold)
	return wait
}

// holdOff returns how long a round that was asked for has to wait.
func (w *budgetWorker) holdOff() time.Duration {
	return time.Until(w.next)
}
