package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

// maxResolveReads bounds the concurrent reads that resolve the writes of a failed
// transaction.
const maxResolveReads = 8

// resolveConflicts resolves the writes whose conditions failed and returns the
// others.
func (b *batcher) resolveConflicts(batch []*rowWrite, conflicts []savorystep.Row) []*rowWrite {
	rows := make(map[savorystep.RowKey]savorystep.Row, len(conflicts))
	for _, row := range conflicts {
		rows[row.Key] = row
	}
	var rest []*rowWrite
	for _, w := range batch {
		if row, ok := rows[w.key]; ok {
			b.resolve(w, row)
		} else {
			rest = append(rest, w)
		}
	}
	return rest
}

// handleFailure resolves the writes whose rows have changed and queues the
// others again. After a refusal it reads no rows, because a refused transaction
// had no effect.
func (b *batcher) handleFailure(ctx context.Context, batch []*rowWrite, sentAt time.Time, err error) {
	if errors.Is(err, ErrRefused) {
		b.transactionLimiter.recordRefusal(sentAt, b.clock.Now())
		b.mu.Lock()
		for _, w := range batch {
			w.sentCount--
		}
		b.mu.Unlock()
		b.enqueue(batch, true)
		return
	}
	b.transactionLimiter.recordFailure(b.clock.Now())
	b.resolveByReads(ctx, batch)
}

// resolveOutdated resolves writes of an earlier era, which can no longer take effect.
func (b *batcher) resolveOutdated(ctx context.Context, writes []*rowWrite) {
	if len(writes) > 0 && !b.resolveByReads(ctx, writes) {
		b.transactionLimiter.recordFailure(b.clock.Now())
	}
}

// resolveByReads reads the rows of writes, resolves the writes that can no longer
// take effect and queues the others again. It returns false if a read failed.
func (b *batcher) resolveByReads(ctx context.Context, writes []*rowWrite) bool {
	unresolved := make([]bool, len(writes))
	var hasFailed atomic.Bool
	var group errgroup.Group
	group.SetLimit(maxResolveReads)
	for i, w := range writes {
		group.Go(func() error {
			row, err := b.table.Get(ctx, w.key)
			if err != nil {
				hasFailed.Store(true)
			} else {
				b.guard.observe(row.Era, b.clock.Now())
			}
			if err == nil && (row.Version != w.version || row.Era.OrFirst() > w.era) {
				b.resolve(w, row)
			} else {
				unresolved[i] = true
			}
			return nil
		})
	}
	_ = group.Wait() // The reads return no error.
	var rest []*rowWrite
	for i, w := range writes {
		if unresolved[i] {
			rest = append(rest, w)
		}
	}
	b.enqueue(rest, true)
	return !hasFailed.Load()
}
