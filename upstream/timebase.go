package upstream

import (
	"time"

	"savorystep"
)

// A timebase represents times as nanoseconds since its start, for use in atomic
// fields. The values are never 0.
type timebase struct {
	clock savorystep.Clock
	start time.Time
}

func newTimebase(clock savorystep.Clock) *timebase {
	return &timebase{clock: clock, start: clock.Now()}
}

// now returns the current time in nanoseconds since the start.
func (b *timebase) now() int64 {
	return b.nanosAt(b.clock.Now())
}

// nanosAt returns a time in nanoseconds since the start, at least 1.
func (b *timebase) nanosAt(t time.Time) int64 {
	return max(1, int64(t.Sub(b.start)))
}
