package cmd

import "time"

// minStall is the shortest delay of a tick that is reported as a stall. In a stall
// the process was paused or got no CPU, and all its time-outs are late by as much.
const minStall = time.Second

// A stallDetector detects from late ticks of a timer that the process was stalled.
type stallDetector struct {
	interval time.Duration
	// minStall is the shortest delay of a tick that is a stall.
	minStall time.Duration
	lastTick time.Time
}

// tick records a tick at time now. It returns for how long the process was stalled
// before this tick, or 0 if it was not. The first tick has no predecessor and
// returns 0.
func (s *stallDetector) tick(now time.Time) time.Duration {
	delay := now.Sub(s.lastTick) - s.interval
	isFirst := s.lastTick.IsZero()
	s.lastTick = now
	if isFirst || delay < s.minStall {
		return 0
	}
	return delay
}
