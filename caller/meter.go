package caller

import (
	"math"
	"sync"
	"time"
)

// meterTimeConstant is the time in which the weight of an event in a Meter falls to 1/e.
const meterTimeConstant = 5 * time.Second

// A Meter measures the rate of events as an exponentially weighted moving average with
// the time constant meterTimeConstant.
type Meter struct {
	mu        sync.Mutex
	rate      float64
	updatedAt time.Time
}

// Add counts one event at the given time.
func (m *Meter) Add(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.rate += 1 / meterTimeConstant.Seconds()
}

// Rate returns the average number of events per second at the given time.
func (m *Meter) Rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.rate
}

// decay reduces the rate for the time since the last call. mu must be held.
func (m *Meter) decay(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if m.updatedAt.IsZero() || elapsed <= 0 {
		m.updatedAt = now
		return
	}
	m.rate *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
	m.updatedAt = now
}
