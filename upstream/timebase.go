package upstream

import (
	"time"

	"savorystep"
)

// A timebase gives times as nanoseconds since its start, for atomic fields.
// They are never 0.
type timebase struct {
	clock savorystep.Clock
	start time.Time
}

func newTimebase(clock savorystep.Clock) *timebase {
	return &timebase{clock: clock, start: clock.Now()}
}

// now returns the present time.
func (b *timebase) now() int64 {
	return b.nanosAt(b.clock.Now())
}

// at returns a time in nanoseconds since the start.
func (b *timebase) nanosAt(t time.Time) int64 {
	return max(1, int64(t.Sub(b.start)))
}
