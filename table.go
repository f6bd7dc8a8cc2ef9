package savorystep

import "context"

// A Table is the platform's transactional table.
//
// Get and Scan are linearizable with Commit. An error of any method has kind
// KindPlatformDown. A Commit that returns an error may or may not have taken
// effect, and may still take effect later.
type Table interface {
	// Commit makes a transaction.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
	// Get reads a row. A missing row is returned with version 0.
	Get(ctx context.Context, key RowKey) (Row, error)
	// Scan reads rows whose keys begin with prefix and come after the given
	// key, in key order, at most limit of them.
	Scan(ctx context.Context, prefix, after RowKey, limit int) ([]Row, error)
}
