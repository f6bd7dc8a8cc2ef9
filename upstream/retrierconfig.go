package upstream

import "savorystep"

// A RetrierConfig configures a Retrier. Zero values take the defaults given
// with the fields.
type RetrierConfig struct {
	// MaxAttempts is the most attempts for one request; 3 by default.
	MaxAttempts int
	// BudgetPercent is how many retries are allowed per 100 requests; 10 by default.
	BudgetPercent int
	// BudgetBurst is how many retries may be saved up; 64 by default, about the
	// requests that an entry has in flight when many connections fall silent
	// at once.
	BudgetBurst int
	// MaxReplayBytes bounds the bytes of a request body kept for a retry; 64 KiB by
	// default. A longer body is sent again only if it was not yet read beyond
	// this bound.
	MaxReplayBytes int
	// Recorder may be nil.
	Recorder savorystep.EventRecorder
}

// withDefaults returns the configuration with defaults for zero values.
func (c RetrierConfig) withDefaults() RetrierConfig {
	setDefault(&c.MaxAttempts, 3)
	setDefault(&c.BudgetPercent, 10)
	setDefault(&c.BudgetBurst, 64)
	setDefault(&c.MaxReplayBytes, 64<<10)
	return c
}
