package upstream

import "savorystep"

// A RetrierConfig configures a Retrier. Zero values select the defaults given
// with the fields.
type RetrierConfig struct {
	// MaxAttempts bounds the attempts for one request; 3 by default.
	MaxAttempts int
	// BudgetPercent is the number of retries allowed per 100 requests; 10 by
	// default.
	BudgetPercent int
	// BudgetBurst is the number of retries that can accumulate in the budget;
	// 64 by default, about the requests that an instance has in flight when
	// many connections become silent at once.
	BudgetBurst int
	// MaxReplayBytes bounds the bytes of a request body that are buffered for a
	// retry; 64 KiB by default. A request with a longer body is retried only if
	// no more than this was read of it.
	MaxReplayBytes int
	// Recorder may be nil.
	Recorder savorystep.EventRecorder
}

// withDefaults returns the configuration with zero values replaced by the
// defaults.
func (c RetrierConfig) withDefaults() RetrierConfig {
	setDefault(&c.MaxAttempts, 3)
	setDefault(&c.BudgetPercent, 10)
	setDefault(&c.BudgetBurst, 64)
	setDefault(&c.MaxReplayBytes, 64<<10)
	return c
}
