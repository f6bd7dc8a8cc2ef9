package store

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

const (
	// maxBatchBytes bounds the total size of the values in one transaction.
	maxBatchBytes = 1 << 20
	// maxInFlightCommits bounds the transactions in flight of one instance. At
	// a round trip of 70 ms between regions, eight allow more than 100
	// transactions per second.
	maxInFlightCommits = 8
	// maxQueuedWrites bounds the writes that wait for a transaction.
	maxQueuedWrites = 8192
)

// A batcher groups conditional row writes into transactions. A write whose
// condition fails is removed and the others are sent again. After an error the
// rows are read; a write that may still take effect stays queued with the same
// condition, so that it takes effect at most once.
type batcher struct {
	table              savorystep.Table
	clock              savorystep.Clock
	maxRows            int
	batchDelay         time.Duration
	transactionLimiter *transactionLimiter
	guard              *restoreGuard
	wakeup             chan struct{}

	mu             sync.Mutex
	queue          []*rowWrite
	oldestQueuedAt time.Time
	unresolved     int // number of writes that are neither resolved nor abandoned
}

func newBatcher(config IdempotencyStoreConfig, guard *restoreGuard) *batcher {
	return &batcher{
		table:              config.Table,
		clock:              config.Clock,
		maxRows:            config.MaxBatchRows,
		batchDelay:         config.BatchDelay,
		transactionLimiter: newTransactionLimiter(config.MaxTransactionRate),
		guard:              guard,
		wakeup:             make(chan struct{}, 1),
	}
}

// isAccepting reports whether a new write should be queued: the queue has room
// and, if the last transactions failed, no queued write already probes the
// platform.
func (b *batcher) isAccepting() bool {
	b.mu.Lock()
	queuedWrites := len(b.queue)
	b.mu.Unlock()
	return queuedWrites < maxQueuedWrites && (queuedWrites == 0 || !b.transactionLimiter.isFailing())
}

// submit queues a write.
func (b *batcher) submit(key savorystep.RowKey, version savorystep.RowVersion, era savorystep.StoreEra, value []byte) *rowWrite {
	w := &rowWrite{key: key, version: version, era: era, value: value, result: make(chan savorystep.Row, 1)}
	b.mu.Lock()
	b.unresolved++
	b.mu.Unlock()
	b.enqueue([]*rowWrite{w}, false)
	return w
}

// resolve passes the outcome of a write to its writer.
func (b *batcher) resolve(w *rowWrite, row savorystep.Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !w.resolved {
		w.resolved = true
		b.unresolved--
	}
	w.result <- row
}

// unresolvedCount returns the number of writes that are neither resolved nor
// abandoned.
func (b *batcher) unresolvedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unresolved
}

// enqueue adds writes to the queue, at its front if they have been queued
// before.
func (b *batcher) enqueue(writes []*rowWrite, front bool) {
	b.mu.Lock()
	if len(b.queue) == 0 {
		b.oldestQueuedAt = b.clock.Now()
	}
	if front {
		b.queue = append(append([]*rowWrite(nil), writes...), b.queue...)
	} else {
		b.queue = append(b.queue, writes...)
	}
	b.mu.Unlock()
	select {
	case b.wakeup <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// abandon marks a write as resolved, so that takeBatch drops it from the queue.
// It reports whether the write was sent in a transaction that the platform did
// not refuse; such a write may have taken effect or may still do so.
func (b *batcher) abandon(w *rowWrite) (sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !w.resolved {
		w.resolved = true
		b.unresolved--
	}
	return w.sentCount > 0
}

// run sends transactions until ctx ends.
func (b *batcher) run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxInFlightCommits)
	for b.waitForBatch(ctx) {
		era := b.guard.current()
		batch, outdated := b.takeBatch(era)
		if len(batch) > 0 || len(outdated) > 0 {
			group.Go(func() error {
				b.resolveOutdated(ctx, outdated)
				b.commit(ctx, batch, era)
				return nil
			})
		}
	}
	return group.Wait()
}

// waitForBatch waits until a batch is due. It returns false if ctx ended.
func (b *batcher) waitForBatch(ctx context.Context) bool {
	for {
		queuedWrites, oldestQueuedAt := b.queuedWrites()
		if queuedWrites > 0 {
			var waitTime time.Duration
			if queuedWrites < b.maxRows {
				waitTime = b.batchDelay - b.clock.Now().Sub(oldestQueuedAt)
			}
			if !savorystep.Sleep(ctx, waitTime) {
				return false
			}
			return savorystep.Sleep(ctx, b.transactionLimiter.waitTime(b.clock.Now()))
		}
		select {
		case <-ctx.Done():
			return false
		case <-b.wakeup:
		}
	}
}

func (b *batcher) queuedWrites() (int, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue), b.oldestQueuedAt
}

// takeBatch removes the next batch of an era from the queue, and the writes of
// earlier eras among them. Two writes of one row go to different batches, because a
// transaction writes a row only once.
func (b *batcher) takeBatch(era savorystep.StoreEra) (batch, outdated []*rowWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rest []*rowWrite
	keys := make(map[savorystep.RowKey]bool)
	bytes := 0
	for i, w := range b.queue {
		if len(batch) == b.maxRows || len(outdated) == b.maxRows {
			rest = append(rest, b.queue[i:]...)
			break
		}
		switch {
		case w.resolved: // The write was abandoned.
		case w.era != era:
			outdated = append(outdated, w)
		case keys[w.key] || len(batch) > 0 && bytes+len(w.value) > maxBatchBytes:
			rest = append(rest, w)
		default:
			w.sentCount++
			keys[w.key] = true
			bytes += len(w.value)
			batch = append(batch, w)
		}
	}
	b.queue = rest
	b.oldestQueuedAt = b.clock.Now()
	return batch, outdated
}

// commit sends the transaction of a batch until it succeeds or fails, without
// the writes whose conditions failed.
func (b *batcher) commit(ctx context.Context, batch []*rowWrite, era savorystep.StoreEra) {
	for len(batch) > 0 {
		sentAt := b.clock.Now()
		commit, err := b.table.Commit(ctx, batchTxn(batch, era))
		if err == nil {
			b.guard.observe(commit.Era, b.clock.Now())
		}
		if err == nil && commit.IsOtherEra() {
			b.transactionLimiter.recordSuccess()
			b.resolveOutdated(ctx, batch)
			return
		}
		if err == nil && len(commit.Conflicts) > 0 {
			b.transactionLimiter.recordSuccess()
			rest := b.resolveConflicts(batch, commit.Conflicts)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
			err = savorystep.NewError(savorystep.KindPlatformDown, "conflict names no row of the transaction")
		}
		if err != nil {
			b.handleFailure(ctx, batch, sentAt, err)
			return
		}
		b.transactionLimiter.recordSuccess()
		for _, w := range batch {
			b.resolve(w, savorystep.Row{Key: w.key, Version: commit.Version, Value: w.value, Era: commit.Era})
		}
		return
	}
}

// batchTxn returns the transaction of a batch.
func batchTxn(batch []*rowWrite, era savorystep.StoreEra) savorystep.Txn {
	txn := savorystep.Txn{
		Era:        era,
		Conditions: make([]savorystep.Condition, 0, len(batch)),
		Writes:     make([]savorystep.Write, 0, len(batch)),
	}
	for _, w := range batch {
		txn.Conditions = append(txn.Conditions, savorystep.Condition{Key: w.key, Version: w.version})
		txn.Writes = append(txn.Writes, savorystep.Write{Key: w.key, Value: w.value})
	}
	return txn
}
