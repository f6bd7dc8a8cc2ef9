package store

import (
	"time"

	"savorystep"
)

// demandWindow is the measuring window for peaks of demand. A peak counts for
// one to two windows. This keeps the grant from following each short dip of the
// load with a write.
const demandWindow = 5 * time.Second

// refusalWindow is the time for which refused acquisitions count as demand.
const refusalWindow = 500 * time.Millisecond

// A demandMeter measures the peak of the units in flight plus the acquisitions
// refused within the same refusalWindow.
type demandMeter struct {
	peak, previousPeak savorystep.Slots
	windowStart        time.Time
	refusedUnits       savorystep.Slots
	refusalWindowStart time.Time
}

// rollWindow starts a new window if the current one is over.
func (m *demandMeter) rollWindow(now time.Time, inFlight savorystep.Slots) {
	if now.Sub(m.windowStart) < demandWindow {
		return
	}
	if now.Sub(m.windowStart) < 2*demandWindow {
		m.previousPeak = m.peak
	} else {
		m.previousPeak = inFlight
	}
	m.peak = inFlight
	m.windowStart = now
}

// recordAcquired records that a unit was acquired.
func (m *demandMeter) recordAcquired(inFlight savorystep.Slots) {
	m.peak = max(m.peak, inFlight)
}

// recordRefused records that an acquisition was refused.
func (m *demandMeter) recordRefused(now time.Time, inFlight savorystep.Slots) {
	if now.Sub(m.refusalWindowStart) >= refusalWindow {
		m.refusedUnits = 0
		m.refusalWindowStart = now
	}
	m.refusedUnits++
	m.peak = max(m.peak, inFlight+m.refusedUnits)
}

// peakNeed returns the peak demand of the current and the previous window.
func (m *demandMeter) peakNeed(now time.Time, inFlight savorystep.Slots) savorystep.Slots {
	m.rollWindow(now, inFlight)
	return max(m.peak, m.previousPeak, inFlight)
}
