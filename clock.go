package savorystep

import "time"

// A Clock returns the current time, with a monotonic clock reading.
type Clock interface {
	Now() time.Time
}
