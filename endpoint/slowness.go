package endpoint

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new measurement. If an endpoint becomes
	// four times slower, three responses double its expected latency.
	slownessWeight = 0.25
	// slownessDecay is the time constant with which the slowness decays while the
	// endpoint gets no requests, so that it gets requests again.
	slownessDecay = 4 * time.Second
	// maxLatencyRatio limits the ratio of measured to expected latency, so that a
	// single very slow response does not dominate.
	maxLatencyRatio = 10.0
)

// A slowness corrects the expected latency of an endpoint: it is a moving mean of
// how much the measured latencies exceeded the expected ones, which include the
// correction.
type slowness struct {
	// excess is a fraction of the uncorrected latency: 1 doubles it.
	excess     float64
	measuredAt time.Time
}

// factor returns the factor by which the expected latency of the endpoint is
// multiplied, at least 1.
func (s slowness) factor(now time.Time) float64 {
	if s.excess <= 0 {
		return 1
	}
	return 1 + s.excess*math.Exp(-float64(now.Sub(s.measuredAt))/float64(slownessDecay))
}

// record adds a measurement.
func (s *slowness) record(now time.Time, latency, expected time.Duration) {
	ratio := min(float64(latency)/float64(max(expected, time.Millisecond)), maxLatencyRatio)
	previous := s.factor(now) - 1
	s.excess = max(0, previous+slownessWeight*(ratio-1-previous))
	s.measuredAt = now
}
