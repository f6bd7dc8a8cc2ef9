package cmd

import "time"

// leastStall is the delay of a tick from which on the process counts as having
// stood still: paused, or without a processor. All time-outs of its requests
// are late by as much.
const leastStall = time.Second

// A stallWatch sees from ticks that come late that the process stood still.
type stallWatch struct {
	interval time.Duration
	last     time.Time
}

// tick takes note of a tick. It returns for how long the process stood still
// before it, zero if it did not.
func (s *stallWatch) tick(now time.Time) time.Duration {
	late := now.Sub(s.last) - s.interval
	isFirst := s.last.IsZero()
	s.last = now
	if isFirst || late < leastStall {
		return 0
	}
	return late
}
