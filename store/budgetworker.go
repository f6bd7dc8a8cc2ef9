package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

const budgetLog = savorystep.Logger("store")

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
	guard               *restoreGuard
	marker              *eraMarker
	markedEra           savorystep.StoreEra
	listReadAt          time.Time
	consecutiveFailures int
	// conflictRounds counts the consecutive rounds that ended with a conflict.
	conflictRounds int
	// nextRoundAt is the earliest time of the next round.
	nextRoundAt time.Time
}

// round processes all budgets once and reports whether any of them is in use.
func (w *budgetWorker) round(ctx context.Context, stopping bool) bool {
	now := w.budgets.config.Clock.Now()
	isResponding := w.followRestores(ctx)
	active, toRead, listPeriod := w.planRound(now, stopping)
	if len(active) == 0 {
		return false
	}
	if !isResponding {
		return true
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
		b.followEra(w.guard)
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
	now := w.budgets.config.Clock.Now()
	w.guard.observe(row.Era, now)
	if err := b.observe(row, now); err != nil {
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
