package store

import (
	"time"

	"savorystep"
)

// An IdempotencyStoreConfig configures an IdempotencyStore.
type IdempotencyStoreConfig struct {
	Table   savorystep.Table
	Objects savorystep.Objects
	// Clock is the system clock if it is nil.
	Clock savorystep.Clock
	// MaxBatchRows bounds the rows in one transaction. 0 means
	// DefaultMaxBatchRows.
	MaxBatchRows int
	// BatchDelay is how long a write waits for others to share its transaction.
	// 0 means DefaultBatchDelay, a negative value no delay.
	BatchDelay time.Duration
	// BeginTimeout bounds how long Begin waits for the platform. 0 means
	// DefaultBeginTimeout.
	BeginTimeout time.Duration
	// MaxTransactionRate bounds this instance's transactions per second. A
	// lower rate leaves more of the platform's write rate to other instances
	// and delays keyed requests by up to 1/MaxTransactionRate seconds. 0 means
	// that only refusals by the platform reduce the rate.
	MaxTransactionRate float64
	// InProgressWindow is how long an attempt of another instance is reported
	// as in progress, counted from when this instance first saw it. After that
	// its outcome is reported as unknown. 0 means DefaultInProgressWindow.
	InProgressWindow time.Duration
	// MaxInlineBytes is the largest response that is stored in the key's row;
	// larger ones are stored as objects. 0 means DefaultMaxInlineBytes.
	MaxInlineBytes int
	// RestoreWindow is how long after this instance noticed a restore of the table a
	// key without a row is reported as in progress. Within this time all instances
	// write the keys again that they know. 0 means DefaultRestoreWindow.
	RestoreWindow time.Duration
	// Retention is the minimum time for which completed and released keys are
	// kept. 0 means DefaultRetention, and smaller values than minRetention mean
	// minRetention.
	Retention time.Duration
}

const (
	// DefaultMaxBatchRows lets 300 transactions per second carry 9,600 keyed
	// requests per second, which need two row writes each.
	DefaultMaxBatchRows = 64
	// DefaultMaxInlineBytes is the bound that the design sets for responses in
	// rows.
	DefaultMaxInlineBytes = 64 << 10
	// DefaultBatchDelay is small compared to the round trip to the table.
	DefaultBatchDelay = 2 * time.Millisecond
	// DefaultBeginTimeout is longer than one timeout of a Client, so that a
	// call on an unresponsive connection can be repeated on a new one.
	DefaultBeginTimeout = 5 * time.Second
	// DefaultInProgressWindow is longer than the deadlines that callers use, so
	// that the outcome of a running request is not reported as unknown.
	DefaultInProgressWindow = 60 * time.Second
	// DefaultRestoreWindow is longer than another instance takes to notice a restore
	// and to write its keys again: eraCheckInterval, maxRetryDelay and the timeouts of
	// three calls of a Client.
	DefaultRestoreWindow = 10 * time.Second
	// DefaultRetention covers callers that repeat a request on the next day.
	DefaultRetention = 48 * time.Hour
	// minRetention is far above maxBeginTime, so that no attempt finds the row
	// of its own late write after the key was deleted.
	minRetention = time.Hour
)

// withDefaults returns the configuration with unset fields replaced by the
// defaults.
func (c IdempotencyStoreConfig) withDefaults() IdempotencyStoreConfig {
	if c.Clock == nil {
		c.Clock = savorystep.SystemClock{}
	}
	if c.MaxBatchRows <= 0 {
		c.MaxBatchRows = DefaultMaxBatchRows
	}
	if c.BatchDelay == 0 {
		c.BatchDelay = DefaultBatchDelay
	}
	if c.BeginTimeout <= 0 {
		c.BeginTimeout = DefaultBeginTimeout
	}
	if c.MaxTransactionRate <= 0 {
		c.MaxTransactionRate = maxTransactionRate
	}
	if c.InProgressWindow <= 0 {
		c.InProgressWindow = DefaultInProgressWindow
	}
	if c.MaxInlineBytes <= 0 {
		c.MaxInlineBytes = DefaultMaxInlineBytes
	}
	if c.RestoreWindow <= 0 {
		c.RestoreWindow = DefaultRestoreWindow
	}
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	c.Retention = max(c.Retention, minRetention)
	return c
}
