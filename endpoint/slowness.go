package endpoint

import (
	"math"
	"time"
)

const (
	// slowShare is the share of a new measurement: three slow answers in a row
	// double the estimate for an endpoint that became four times slower.
	slowShare = 0.25
	// slowMemory is the time in which an estimate fades while the endpoint gets
	// no requests, so that it is tried again.
	slowMemory = 4 * time.Second
	// mostSlow bounds one measurement. Slower answers say no more.
	mostSlow = 10.0
)

// A slowness is by how much an endpoint takes longer than expected.
type slowness struct {
	excess float64
	at     time.Time
}

// factor returns the factor by which an estimate for the endpoint grows.
func (s slowness) factor(now time.Time) float64 {
	if s.excess <= 0 {
		return 1
	}
	return 1 + s.excess*math.Exp(-float64(now.Sub(s.at))/float64(slowMemory))
}

// note takes a measurement.
func (s *slowness) note(now time.Time, took, expected time.Duration) {
	ratio := min(float64(took)/float64(max(expected, time.Millisecond)), mostSlow)
	present := s.factor(now) - 1
	s.excess = max(0, present+slowShare*(ratio-1-present))
	s.at = now
}
