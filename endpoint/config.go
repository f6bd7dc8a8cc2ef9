package endpoint

import (
	"time"

	"savorystep"
)

// A Config configures a Table.
type Config struct {
	// Self is this instance.
	Self savorystep.InstanceID
	// ColdFactor times a cold endpoint's rate plus ColdSlack bounds the
	// requests that it gets from all instances in a second.
	ColdFactor, ColdSlack float64
	// RetryRatio, RetrySlack and RetryWindow bound the repeats of a service's
	// requests by all instances.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}
