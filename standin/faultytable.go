package standin

import (
	"context"
	"sync"
	"time"

	"savorystep"
)

var _ savorystep.Table = &FaultyTable{}

// TableFaults are the faults of a FaultyTable.
type TableFaults struct {
	// Down refuses all calls before they take effect.
	Down bool
	// LoseResponses lets this many commits take effect and loses their answers.
	LoseResponses int
	// HoldCommits keeps commits back: they return an error at once and take effect
	// when ApplyLate is called.
	HoldCommits bool
	// Latency is added to each call.
	Latency time.Duration
}

// A FaultyTable wraps a table and injects faults.
type FaultyTable struct {
	savorystep.Table
	mu     sync.Mutex
	faults TableFaults
	late   []savorystep.Txn
}

// NewFaultyTable returns a table that works like the given one until faults
// are set.
func NewFaultyTable(table savorystep.Table) *FaultyTable {
	return &FaultyTable{Table: table}
}

// SetFaults replaces the faults.
func (t *FaultyTable) SetFaults(faults TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// ApplyHeldCommits lets the commits that were kept back take effect.
func (t *FaultyTable) ApplyHeldCommits(ctx context.Context) error {
	t.mu.Lock()
	late := t.late
	t.late = nil
	t.mu.Unlock()
	for _, txn := range late {
		if _, err := t.Table.Commit(ctx, txn); err != nil {
			return err
		}
	}
	return nil
}

// Commit makes a transaction unless a fault prevents it.
func (t *FaultyTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	if err := t.before(ctx); err != nil {
		return savorystep.CommitResult{}, err
	}
	lose, late := t.takeCommitFault(txn)
	if late {
		return savorystep.CommitResult{}, savorystep.NewError(savorystep.KindPlatformDown, "the commit is kept back")
	}
	commit, err := t.Table.Commit(ctx, txn)
	if err == nil && lose {
		return savorystep.CommitResult{}, savorystep.NewError(savorystep.KindPlatformDown, "the answer was lost")
	}
	return commit, err
}

// takeCommitFault reports which fault the next commit meets.
func (t *FaultyTable) takeCommitFault(txn savorystep.Txn) (lose, late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.HoldCommits {
		t.late = append(t.late, txn)
		return false, true
	}
	if t.faults.LoseResponses > 0 {
		t.faults.LoseResponses--
		return true, false
	}
	return false, false
}

// Get reads a row unless a fault prevents it.
func (t *FaultyTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	if err := t.before(ctx); err != nil {
		return savorystep.Row{}, err
	}
	return t.Table.Get(ctx, key)
}

// Scan reads rows by prefix unless a fault prevents it.
func (t *FaultyTable) Scan(ctx context.Context, prefix, after savorystep.RowKey, limit int) ([]savorystep.Row, error) {
	if err := t.before(ctx); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

// before adds the latency and refuses the call if the table is down.
func (t *FaultyTable) before(ctx context.Context) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.Latency > 0 {
		select {
		case <-ctx.Done():
			return savorystep.WrapError(savorystep.KindPlatformDown, ctx.Err(), "the call timed out")
		case <-time.After(faults.Latency):
		}
	}
	if faults.Down {
		return savorystep.NewError(savorystep.KindPlatformDown, "the table is down")
	}
	return nil
}
