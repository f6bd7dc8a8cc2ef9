package endpoint

import (
	"time"

	"savorystep"
)

// A Config configures a Table.
type Config struct {
	// Self is the id of this instance.
	Self savorystep.InstanceID
	// ColdFactor and ColdSlack limit the requests that a cold endpoint gets from
	// all instances in a second to its ColdRate times ColdFactor plus ColdSlack.
	ColdFactor, ColdSlack float64
	// RetryRatio and RetrySlack limit the retries of a service's requests by all
	// instances in a window of RetryWindow to RetryRatio times the requests plus
	// RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// MayReplace is true if instances may have run before this one was started. Their
	// retries count against the same limit.
	MayReplace bool
}
