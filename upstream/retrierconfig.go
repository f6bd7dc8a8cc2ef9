package upstream

import "savorystep"

// A RetrierConfig configures a Retrier. Zero values take the defaults given
// with the fields.
type RetrierConfig struct {
	// Attempts is the most attempts for one request; 3 by default.
	Attempts int
	// Percent is how many retries are allowed per 100 requests; 10 by default.
	Percent int
	// Burst is how many retries may be saved up; 64 by default, about the
	// requests that an entry has in flight when many connections fall silent
	// at once.
	Burst int
	// Replay bounds the bytes of a request body kept for a retry; 64 KiB by
	// default. A longer body is sent again only if it was not yet read beyond
	// this bound.
	Replay int
	// Recorder may be nil.
	Recorder savorystep.EventRecorder
}

// withDefaults returns the configuration with defaults for zero values.
func (c RetrierConfig) withDefaults() RetrierConfig {
	setDefault(&c.Attempts, 3)
	setDefault(&c.Percent, 10)
	setDefault(&c.Burst, 64)
	setDefault(&c.Replay, 64<<10)
	return c
}
