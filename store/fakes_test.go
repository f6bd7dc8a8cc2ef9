package store_test

import (
	"bytes"
	"context"
	"sync"

	"savorystep"
	"savorystep/standin"
)

// A blindTable is a broken table that commits whatever the conditions are.
type blindTable struct {
	*standin.Table
}

func (t blindTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	txn.Conditions = nil
	return t.Table.Commit(ctx, txn)
}

// A sameAttemptTable is a broken table that reports a conflict on a row as if
// it held what was to be written, so that each attempt takes it for its own.
type sameAttemptTable struct {
	*standin.Table
}

func (t sameAttemptTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
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

// A hookTable calls a function before each call of a table.
type hookTable struct {
	savorystep.Table
	mu     sync.Mutex // guards the functions
	get    func(savorystep.RowKey)
	scan   func(prefix, after savorystep.RowKey)
	commit func(savorystep.Txn)
	// scanned is called after a scan, before its rows are returned.
	scanned func()
}

// set changes the functions.
func (t *hookTable) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// hook returns one of the functions, which may be nil.
func hook[F any](t *hookTable, f *F) F {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *f
}

func (t *hookTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	if f := hook(t, &t.get); f != nil {
		f(key)
	}
	return t.Table.Get(ctx, key)
}

func (t *hookTable) Scan(ctx context.Context, prefix, after savorystep.RowKey, limit int) ([]savorystep.Row, error) {
	if f := hook(t, &t.scan); f != nil {
		f(prefix, after)
	}
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	if f := hook(t, &t.scanned); f != nil {
		f()
	}
	return rows, err
}

func (t *hookTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	if f := hook(t, &t.commit); f != nil {
		f(txn)
	}
	return t.Table.Commit(ctx, txn)
}

// A switchTable is a table that can be replaced by another.
type switchTable struct {
	savorystep.Table
	mu sync.Mutex
}

func (t *switchTable) replace(table savorystep.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Table = table
}

func (t *switchTable) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Table.Get(ctx, key)
}
