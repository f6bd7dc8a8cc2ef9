package standin

import (
	"context"
	"sync"
	"time"

	"savorystep"
)

var _ savorystep.Table = &FaultyTable{}

// TableFaults are the faults of a FaultyTable. The zero value has none.
type TableFaults struct {
	// Down makes all calls fail without effect.
	Down bool
	// LoseResponses is the number of next commits that take effect but return an
	// error, as if their response were lost.
	LoseResponses int
	// HoldCommits makes commits return an error at once. They take effect when
	// ApplyHeldCommits is called, as if they were delayed in the network.
	HoldCommits bool
	// Latency is added to each call, before it takes effect.
	Latency time.Duration
}

// A FaultyTable injects faults into the calls of a table.
type FaultyTable struct {
	savorystep.Table
	mu          sync.Mutex
	faults      TableFaults
	heldCommits []savorystep.Txn
}

// NewFaultyTable returns a table that passes all calls to the given one until
// SetFaults is called.
func NewFaultyTable(table savorystep.Table) *FaultyTable {
	return &FaultyTable{Table: table}
}

// SetFaults replaces all faults. Commits that are held stay held.
func (t *FaultyTable) SetFaults(faults TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// ApplyHeldCommits applies the held commits in the order of their calls. It
// returns the first error and drops the commits after it.
func (t *FaultyTable) ApplyHeldCommits(ctx context.Context) error {
	t.mu.Lock()
	commits := t.heldCommits
	t.heldCommits = nil
	t.mu.Unlock()
	for _, txn := range commits {
		if _, err := t.Table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	return nil
}

// Commit applies a transaction, subject to the faults. Injected errors have kind
// KindPlatformDown.
func (t *FaultyTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	if err := t.injectFaults(ctx); err != nil {
		return savorystep.CommitResult{}, err
	}
	loseResponse, hold := t.takeCommitFault(txn)
	if hold {
		return savorystep.CommitResult{}, savorystep.NewError(savorystep.KindPlatformDown, "commit is held back")
	}
	commit, err := t.Table.Commit(ctx, txn)
	if err == nil && loseResponse {
		return savorystep.CommitResult{}, savorystep.NewError(savorystep.KindPlatformDown, "response to the commit was lost")
	}
	return commit, err
}

// takeCommitFault returns the fault of the next commit. If commits are held, it
// adds txn to the held ones.
func (t *FaultyTable) takeCommitFault(txn savorystep.Txn) (loseResponse, hold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.HoldCommits {
		t.heldCommits = append(t.heldCommits, txn)
		return false, true
	}
	if t.faults.LoseResponses > 0 {
		t.faults.LoseResponses--
		return true, false
	}
	return false, false
}

// Get reads a row, subject to the faults.
func (t *FaultyTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return savorystep.Row{}, err
	}
	return t.Table.Get(ctx, key)
}

// Scan reads the rows with a key prefix, subject to the faults.
func (t *FaultyTable) Scan(ctx context.Context, prefix, after savorystep.RowKey, limit int) ([]savorystep.Row, error) {
	if err := t.injectFaults(ctx); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

// injectFaults waits for the latency and returns an error if the table is down or
// ctx ends before.
func (t *FaultyTable) injectFaults(ctx context.Context) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.Latency > 0 {
		select {
		case <-ctx.Done():
			return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "call to the table cancelled or out of time during a latency of %v", faults.Latency)
		case <-time.After(faults.Latency):
		}
	}
	if faults.Down {
		return savorystep.NewError(savorystep.KindPlatformDown, "table is down")
	}
	return nil
}
