package store

import (
	"time"

	"savorystep"
)

// A KeysConfig sets up Keys.
type KeysConfig struct {
	Table   savorystep.Table
	Objects savorystep.Objects
	// Clock is the clock of the machine if it is nil.
	Clock savorystep.Clock
	// Batch is the most rows in one transaction. 0 means DefaultBatch.
	MaxBatchRows int
	// Linger is how long a write waits for others. 0 means DefaultLinger, a
	// negative time none.
	BatchDelay time.Duration
	// Patience is the longest that Begin waits for the platform. 0 means
	// DefaultPatience.
	BeginTimeout time.Duration
	// Rate is the most transactions a second of this instance. A lower one
	// leaves writes of the platform to others and costs keyed requests a wait
	// of up to 1/Rate. 0 means that only refusals of the platform slow down.
	MaxTransactionRate float64
	// Progress is how long an attempt of another instance is reported as in
	// progress, from when this instance first saw it. 0 means
	// DefaultProgress.
	InProgressWindow time.Duration
	// Inline is the largest answer in bytes that is stored in the key's row. 0
	// means DefaultInline.
	MaxInlineBytes int
	// Retention is how long completed and released keys are kept at least. 0
	// means DefaultRetention, less than minRetention means minRetention.
	Retention time.Duration
}

const (
	// DefaultBatch lets 300 transactions a second carry 9,600 keyed requests a
	// second, which need two row writes each.
	DefaultMaxBatchRows = 64
	// DefaultInline is the design's bound of answers in rows.
	DefaultMaxInlineBytes = 64 << 10
	// DefaultLinger is small against the round trip to the table.
	DefaultBatchDelay = 2 * time.Millisecond
	// DefaultPatience is longer than one timeout of a Client, so that a call on
	// a silent connection can be made again on a new one.
	DefaultBeginTimeout = 5 * time.Second
	// DefaultProgress is longer than the deadlines that callers use, so that a
	// request that still runs is not reported as lost.
	DefaultInProgressWindow = 60 * time.Second
	// DefaultRetention covers callers that send again on the next day.
	DefaultRetention = 48 * time.Hour
	// minRetention is far above maxBegin, so that no attempt meets the row of
	// its own late write after a cleaning.
	minRetention = time.Hour
)

// withDefaults fills the fields that are not set.
func (c KeysConfig) withDefaults() KeysConfig {
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
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	c.Retention = max(c.Retention, minRetention)
	return c
}
