package cmd

import "time"

// minStall is the delay of a tick from which on the process counts as having
// stood still: paused, or without a processor. All time-outs of its requests
// are late by as much.
const minStall = time.Second

// A stallDetector sees from ticks that come late that the process stood still.
type stallDetector struct {
	interval time.Duration
	lastTick time.Time
}

// tick takes note of a tick. It returns for how long the process stood still
// before it, zero if it did not.
func (s *stallDetector) tick(now time.Time) time.Duration {
	late := now.Sub(s.lastTick) - s.interval
	isFirst := s.lastTick.IsZero()
	s.lastTick = now
	if isFirst || late < minStall {
		return 0
	}
	return late
}
