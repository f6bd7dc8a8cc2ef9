package savorystep

import "context"

// Rows are the rows of the platform's transactional table.
//
// Get is linearizable with Commit. Errors have kind KindPlatformDown. A transaction
// whose Commit returned an error may have been applied, or may still be applied later.
type Rows interface {
	// Commit applies a transaction if its conditions hold.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
	// Get returns a row. A row that does not exist has version 0.
	Get(ctx context.Context, key RowKey) (Row, error)
}

// A Table is the platform's transactional table with reads of many rows, which are
// linearizable with Commit, too.
type Table interface {
	Rows
	// Scan returns at most limit rows in key order whose keys begin with prefix
	// and are greater than after.
	Scan(ctx context.Context, prefix, after RowKey, limit int) ([]Row, error)
}
