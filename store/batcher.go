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
	maxCommits = 8
	// maxQueue bounds the writes that wait for a transaction.
	maxQueue = 8192
	// settleReads bounds the reads in flight that settle a lost answer.
	settleReads = 8
)

// A batcher groups conditional row writes into transactions. A write whose
// condition fails drops out and the others are tried again. After an error the
// rows are read; a write that may still take effect stays queued with the same
// condition, so that it takes effect at most once.
type batcher struct {
	table  savorystep.Table
	clock  savorystep.Clock
	size   int
	linger time.Duration
	pace   *pace
	wake   chan struct{}

	mu    sync.Mutex
	queue []*rowWrite
	first time.Time // when the oldest queued write was queued
	open  int       // writes that are neither settled nor abandoned
}

func newBatcher(config KeysConfig) *batcher {
	return &batcher{
		table:  config.Table,
		clock:  config.Clock,
		size:   config.MaxBatchRows,
		linger: config.BatchDelay,
		pace:   newPace(config.MaxTransactionRate),
		wake:   make(chan struct{}, 1),
	}
}

// admits reports whether a new write has a chance: the queue has room and, if
// the last transactions failed, no other write is there to try the platform.
func (b *batcher) admits() bool {
	b.mu.Lock()
	queued := len(b.queue)
	b.mu.Unlock()
	return queued < maxQueue && (queued == 0 || !b.pace.failing())
}

// submit queues a write.
func (b *batcher) submit(key savorystep.RowKey, version savorystep.RowVersion, value []byte) *rowWrite {
	w := &rowWrite{key: key, version: version, value: value, settled: make(chan savorystep.Row, 1)}
	b.mu.Lock()
	b.open++
	b.mu.Unlock()
	b.enqueue([]*rowWrite{w}, false)
	return w
}

// settle tells the writer what became of a write.
func (b *batcher) settle(w *rowWrite, row savorystep.Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !w.ended {
		w.ended = true
		b.open--
	}
	w.settled <- row
}

// unsettled returns the number of writes that are neither settled nor
// abandoned.
func (b *batcher) unsettled() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// enqueue adds writes to the queue, at its front if they were in it before.
func (b *batcher) enqueue(writes []*rowWrite, front bool) {
	b.mu.Lock()
	if len(b.queue) == 0 {
		b.first = b.clock.Now()
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
	if !w.ended {
		w.ended = true
		b.open--
	}
	return w.sends > 0
}

// run makes transactions until ctx ends.
func (b *batcher) run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxCommits)
	for b.next(ctx) {
		batch := b.take()
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
func (b *batcher) next(ctx context.Context) bool {
	for {
		queued, first := b.queued()
		if queued > 0 {
			var wait time.Duration
			if queued < b.size {
				wait = b.linger - b.clock.Now().Sub(first)
			}
			if !savorystep.Sleep(ctx, wait) {
				return false
			}
			return savorystep.Sleep(ctx, b.pace.wait(b.clock.Now()))
		}
		select {
		case <-ctx.Done():
			return false
		case <-b.wake:
		}
	}
}

func (b *batcher) queued() (int, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue), b.first
}

// take removes the next batch from the queue. Two writes of one row go to
// different batches, because a row is written once in a transaction.
func (b *batcher) take() []*rowWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*rowWrite
	keys := make(map[savorystep.RowKey]bool)
	bytes := 0
	for i, w := range b.queue {
		if len(batch) == b.size {
			rest = append(rest, b.queue[i:]...)
			break
		}
		switch {
		case w.ended: // It was abandoned.
		case keys[w.key] || len(batch) > 0 && bytes+len(w.value) > maxBatchBytes:
			rest = append(rest, w)
		default:
			w.sends++
			keys[w.key] = true
			bytes += len(w.value)
			batch = append(batch, w)
		}
	}
	b.queue = rest
	b.first = b.clock.Now()
	return batch
}

// commit makes the transaction of a batch.
func (b *batcher) commit(ctx context.Context, batch []*rowWrite) {
	for len(batch) > 0 {
		sent := b.clock.Now()
		commit, err := b.table.Commit(ctx, batchTxn(batch))
		if err == nil && len(commit.Conflicts) > 0 {
			b.pace.taken()
			rest := b.dropConflicts(batch, commit.Conflicts)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
			err = savorystep.NewError(savorystep.KindPlatformDown, "a conflict names no row of the transaction")
		}
		if err != nil {
			b.fail(ctx, batch, sent, err)
			return
		}
		b.pace.taken()
		for _, w := range batch {
			b.settle(w, savorystep.Row{Key: w.key, Version: commit.Version, Value: w.value})
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
func (b *batcher) dropConflicts(batch []*rowWrite, conflicts []savorystep.Row) []*rowWrite {
	rows := make(map[savorystep.RowKey]savorystep.Row, len(conflicts))
	for _, row := range conflicts {
		rows[row.Key] = row
	}
	var rest []*rowWrite
	for _, w := range batch {
		if row, ok := rows[w.key]; ok {
			b.settle(w, row)
		} else {
			rest = append(rest, w)
		}
	}
	return rest
}

// fail settles what can be settled after an error and queues the rest again. A
// refused transaction is not read back: trying it again tells the same.
func (b *batcher) fail(ctx context.Context, batch []*rowWrite, sent time.Time, err error) {
	if errors.Is(err, ErrRefused) {
		b.pace.refused(sent, b.clock.Now())
		b.mu.Lock()
		for _, w := range batch {
			w.sends--
		}
		b.mu.Unlock()
		b.enqueue(batch, true)
		return
	}
	b.pace.failed(b.clock.Now())
	open := make([]bool, len(batch))
	var group errgroup.Group
	group.SetLimit(settleReads)
	for i, w := range batch {
		group.Go(func() error {
			row, err := b.table.Get(ctx, w.key)
			if err == nil && row.Version != w.version {
				b.settle(w, row)
			} else {
				open[i] = true
			}
			return nil
		})
	}
	_ = group.Wait() // The reads return no error.
	var rest []*rowWrite
	for i, w := range batch {
		if open[i] {
			rest = append(rest, w)
		}
	}
	b.enqueue(rest, true)
}
