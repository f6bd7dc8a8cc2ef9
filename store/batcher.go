package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

const (
	// maxBatchBytes bounds the values of one transaction.
	maxBatchBytes = 1 << 20
	// maxCommits bounds the transactions in flight of one instance. At a round
	// trip of 70 ms between regions, eight carry more than 100 a second.
	maxInFlightCommits = 8
	// maxQueue bounds the writes that wait for a transaction.
	maxQueuedWrites = 8192
	// settleReads bounds the reads in flight that settle a lost answer.
	maxResolveReads = 8
)

// A batcher groups conditional row writes into transactions. A write whose
// condition fails drops out and the others are tried again. After an error the
// rows are read; a write that may still take effect stays queued with the same
// condition, so that it takes effect at most once.
type batcher struct {
	table              savorystep.Table
	clock              savorystep.Clock
	maxRows            int
	delay              time.Duration
	transactionLimiter *transactionLimiter
	wake               chan struct{}

	mu             sync.Mutex
	queue          []*rowWrite
	oldestQueuedAt time.Time // when the oldest queued write was queued
	unresolved     int       // writes that are neither settled nor abandoned
}

func newBatcher(config KeysConfig) *batcher {
	return &batcher{
		table:              config.Table,
		clock:              config.Clock,
		maxRows:            config.MaxBatchRows,
		delay:              config.BatchDelay,
		transactionLimiter: newTransactionLimiter(config.MaxTransactionRate),
		wake:               make(chan struct{}, 1),
	}
}

// admits reports whether a new write has a chance: the queue has room and, if
// the last transactions failed, no other write is there to try the platform.
func (b *batcher) isAccepting() bool {
	b.mu.Lock()
	queuedWrites := len(b.queue)
	b.mu.Unlock()
	return queuedWrites < maxQueuedWrites && (queuedWrites == 0 || !b.transactionLimiter.isFailing())
}

// submit queues a write.
func (b *batcher) submit(key savorystep.RowKey, version savorystep.RowVersion, value []byte) *rowWrite {
	w := &rowWrite{key: key, version: version, value: value, result: make(chan savorystep.Row, 1)}
	b.mu.Lock()
	b.unresolved++
	b.mu.Unlock()
	b.enqueue([]*rowWrite{w}, false)
	return w
}

// settle tells the writer what became of a write.
func (b *batcher) resolve(w *rowWrite, row savorystep.Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !w.resolved {
		w.resolved = true
		b.unresolved--
	}
	w.result <- row
}

// unsettled returns the number of writes that are neither settled nor
// abandoned.
func (b *batcher) unresolvedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unresolved
}

// enqueue adds writes to the queue, at its front if they were in it before.
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
	case b.wake <- struct{}{}:
	default: // A wake-up is already pending.
	}
}

// abandon takes a write out of the queue. It reports whether the write was sent
// and not refused; if so, it may have taken effect or still do so.
func (b *batcher) abandon(w *rowWrite) (sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !w.resolved {
		w.resolved = true
		b.unresolved--
	}
	return w.sentCount > 0
}

// run makes transactions until ctx ends.
func (b *batcher) run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxInFlightCommits)
	for b.waitForBatch(ctx) {
		batch := b.takeBatch()
		if len(batch) > 0 {
			group.Go(func() error {
				b.commit(ctx, batch)
				return nil
			})
		}
	}
	return group.Wait()
}

// next waits until a batch is due. It returns false when ctx has ended.
func (b *batcher) waitForBatch(ctx context.Context) bool {
	for {
		queuedWrites, oldestQueuedAt := b.queuedWrites()
		if queuedWrites > 0 {
			var waitTime time.Duration
			if queuedWrites < b.maxRows {
				waitTime = b.delay - b.clock.Now().Sub(oldestQueuedAt)
			}
			if !savorystep.Sleep(ctx, waitTime) {
				return false
			}
			return savorystep.Sleep(ctx, b.transactionLimiter.waitTime(b.clock.Now()))
		}
		select {
		case <-ctx.Done():
			return false
		case <-b.wake:
		}
	}
}

func (b *batcher) queuedWrites() (int, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue), b.oldestQueuedAt
}

// take removes the next batch from the queue. Two writes of one row go to
// different batches, because a row is written once in a transaction.
func (b *batcher) takeBatch() []*rowWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*rowWrite
	keys := make(map[savorystep.RowKey]bool)
	bytes := 0
	for i, w := range b.queue {
		if len(batch) == b.maxRows {
			rest = append(rest, b.queue[i:]...)
			break
		}
		switch {
		case w.resolved: // It was abandoned.
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
	return batch
}

// commit makes the transaction of a batch.
func (b *batcher) commit(ctx context.Context, batch []*rowWrite) {
	for len(batch) > 0 {
		sentAt := b.clock.Now()
		commit, err := b.table.Commit(ctx, batchTxn(batch))
		if err == nil && len(commit.Conflicts) > 0 {
			b.transactionLimiter.recordSuccess()
			rest := b.resolveConflicts(batch, commit.Conflicts)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
			err = savorystep.NewError(savorystep.KindPlatformDown, "a conflict names no row of the transaction")
		}
		if err != nil {
			b.handleFailure(ctx, batch, sentAt, err)
			return
		}
		b.transactionLimiter.recordSuccess()
		for _, w := range batch {
			b.resolve(w, savorystep.Row{Key: w.key, Version: commit.Version, Value: w.value})
		}
		return
	}
}

// batchTxn returns the transaction of a batch.
func batchTxn(batch []*rowWrite) savorystep.Txn {
	txn := savorystep.Txn{
		Conditions: make([]savorystep.Condition, 0, len(batch)),
		Writes:     make([]savorystep.Write, 0, len(batch)),
	}
	for _, w := range batch {
		txn.Conditions = append(txn.Conditions, savorystep.Condition{Key: w.key, Version: w.version})
		txn.Writes = append(txn.Writes, savorystep.Write{Key: w.key, Value: w.value})
	}
	return txn
}

// dropConflicts settles the writes whose conditions failed and returns the
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

// fail settles what can be settled after an error and queues the rest again. A
// refused transaction is not read back: trying it again tells the same.
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
	unresolved := make([]bool, len(batch))
	var group errgroup.Group
	group.SetLimit(maxResolveReads)
	for i, w := range batch {
		group.Go(func() error {
			row, err := b.table.Get(ctx, w.key)
			if err == nil && row.Version != w.version {
				b.resolve(w, row)
			} else {
				unresolved[i] = true
			}
			return nil
		})
	}
	_ = group.Wait() // The reads return no error.
	var rest []*rowWrite
	for i, w := range batch {
		if unresolved[i] {
			rest = append(rest, w)
		}
	}
	b.enqueue(rest, true)
}
