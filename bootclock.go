package savorystep

import (
	"time"

	"golang.org/x/sys/unix"
)

var _ Clock = BootClock{}

// A BootClock is a Clock that counts the time during which the machine was suspended,
// which the monotonic reading of a SystemClock does not, and that does not follow
// changes of the time of day. Its times have no monotonic reading.
type BootClock struct {
	bootedAt time.Time
}

// NewBootClock returns a clock that agrees with the time of day now.
func NewBootClock() BootClock {
	sinceBoot, _ := durationSinceBoot()
	return BootClock{bootedAt: time.Now().Round(0).Add(-sinceBoot)}
}

// Now implements Clock. If the system has no such clock, it returns the time of day.
func (c BootClock) Now() time.Time {
	sinceBoot, ok := durationSinceBoot()
	if !ok {
		return time.Now().Round(0)
	}
	return c.bootedAt.Add(sinceBoot)
}

// durationSinceBoot returns the time since the start of the machine, false if the
// system does not tell.
func durationSinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
