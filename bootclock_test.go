package savorystep_test

import (
	"testing"
	"time"

	"savorystep"
)

// TestBootClock guards against a clock that stands still or that counts less than the
// monotonic clock.
func TestBootClock(t *testing.T) {
	clock := savorystep.NewBootClock()
	first := clock.Now()
	startedAt := time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := time.Since(startedAt)
	if counted := clock.Now().Sub(first); counted < elapsed {
		t.Errorf("counted %v, want at least the %v of the monotonic clock", counted, elapsed)
	}
}
