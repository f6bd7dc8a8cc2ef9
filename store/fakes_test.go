package store_test

import (
	"bytes"
	"context"
	"sync"
	"time"

	"savorystep"
	"savorystep/standin"
)

// An unconditionalTable is a faulty table that ignores the conditions of
// transactions.
type unconditionalTable struct {
	*standin.Table
}

func (t unconditionalTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	txn.Conditions = nil
	return t.Table.Commit(ctx, txn)
}

// A conflictEchoTable is a faulty table that reports a conflicting row with the
// value that was to be written, so that each attempt takes the row for its own.
type conflictEchoTable struct {
	*standin.Table
}

func (t conflictEchoTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	commit, err := t.Table.Commit(ctx, txn)
	for i, row := range commit.Conflicts {
		for _, write := range txn.Writes {
			if write.Key == row.Key && row.Version != 0 {
				commit.Conflicts[i].Value = bytes.Clone(write.Value)
			}
		}
	}
	return commit, err
}

// A hookTable calls functions before the calls of a table.
type hookTable struct {
	savorystep.Table
	mu       sync.Mutex // guards the functions
	onGet    func(savorystep.RowKey)
	onScan   func(prefix, after savorystep.RowKey)
	onCommit func(savorystep.Txn)
	// afterScan is called after a scan, before its rows are returned.
	afterScan func()
}

// configure calls f with the mutex held, to change the functions.
func (t *hookTable) configure(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// readHook returns one of the functions, which may be nil.
func readHook[F any](t *hookTable, f *F) F {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *f
}

func (t *hookTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	if f := readHook(t, &t.onGet); f != nil {
		f(key)
	}
	return t.Table.Get(ctx, key)
}

func (t *hookTable) Scan(ctx context.Context, prefix, after savorystep.RowKey, limit int) ([]savorystep.Row, error) {
	if f := readHook(t, &t.onScan); f != nil {
		f(prefix, after)
	}
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	if f := readHook(t, &t.afterScan); f != nil {
		f()
	}
	return rows, err
}

func (t *hookTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	if f := readHook(t, &t.onCommit); f != nil {
		f(txn)
	}
	return t.Table.Commit(ctx, txn)
}

// A slowCommitTable answers a commit some time after it took effect, with an error if one
// is set.
type slowCommitTable struct {
	savorystep.Table
	delay time.Duration
	err   error
}

func (t *slowCommitTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	commit, err := t.Table.Commit(ctx, txn)
	savorystep.Sleep(ctx, t.delay)
	if t.err != nil {
		return savorystep.CommitResult{}, t.err
	}
	return commit, err
}

// A replaceableTable is a table whose reads go to the table that was set last.
type replaceableTable struct {
	savorystep.Table
	mu sync.Mutex
}

func (t *replaceableTable) replace(table savorystep.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Table = table
}

func (t *replaceableTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Table.Get(ctx, key)
}
