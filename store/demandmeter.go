package store

import (
	"time"

	"savorystep"
)

// demandWindow is the time after which a peak of demand is forgotten, between
// one and two times this value. It keeps a grant from following each short dip
// of the load with a write.
const demandWindow = 5 * time.Second

// refusalWindow is the time for which refused acquisitions count as demand.
const refusalWindow = 500 * time.Millisecond

// A demandMeter measures how many units an instance needs: the peak of the
// units in flight together with the acquisitions refused at about the same
// time.
type demandMeter struct {
	peak, previousPeak savorystep.Slots
	windowStart        time.Time
	refusedUnits       savorystep.Slots
	refusalWindowStart time.Time
}

// roll begins a new window when the present one is over.
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

// acquired notes that a unit was taken.
func (m *demandMeter) recordAcquired(inFlight savorystep.Slots) {
	m.peak = max(m.peak, inFlight)
}

// refuse notes that a unit was refused.
func (m *demandMeter) recordRefused(now time.Time, inFlight savorystep.Slots) {
	if now.Sub(m.refusalWindowStart) >= refusalWindow {
		m.refusedUnits = 0
		m.refusalWindowStart = now
	}
	m.refusedUnits++
	m.peak = max(m.peak, inFlight+m.refusedUnits)
}

// need returns the units needed lately.
func (m *demandMeter) peakNeed(now time.Time, inFlight savorystep.Slots) savorystep.Slots {
	m.rollWindow(now, inFlight)
	return max(m.peak, m.previousPeak, inFlight)
}
