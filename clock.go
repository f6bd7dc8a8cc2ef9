package savorystep

import "time"

// A Clock tells the present time. Times carry a monotonic reading.
type Clock interface {
	Now() time.Time
}
