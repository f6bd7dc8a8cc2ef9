package caller

import (
	"math"
	"sync"
	"time"
)

// meterTime is the time over which a Meter averages.
const meterTime = 5 * time.Second

// A Meter measures a rate as an average that forgets exponentially.
type Meter struct {
	mu   sync.Mutex
	rate float64
	last time.Time
}

// Add counts one event at the given time.
func (m *Meter) Add(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.rate += 1 / meterTime.Seconds()
}

// Rate returns the events per second at the given time.
func (m *Meter) Rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.rate
}

// decay lowers the rate by the time since the last call.
func (m *Meter) decay(now time.Time) {
	passed := now.Sub(m.last)
	if m.last.IsZero() || passed <= 0 {
		m.last = now
		return
	}
	m.rate *= math.Exp(-passed.Seconds() / meterTime.Seconds())
	m.last = now
}
