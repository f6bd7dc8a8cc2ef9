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
	peak, lastPeak savorystep.Slots
	peakSince      time.Time
	refused        savorystep.Slots
	refusedSince   time.Time
}

// roll begins a new window when the present one is over.
func (m *demandMeter) roll(now time.Time, inFlight savorystep.Slots) {
	if now.Sub(m.peakSince) < demandWindow {
		return
	}
	if now.Sub(m.peakSince) < 2*demandWindow {
		m.lastPeak = m.peak
	} else {
		m.lastPeak = inFlight
	}
	m.peak = inFlight
	m.peakSince = now
}

// acquired notes that a unit was taken.
func (m *demandMeter) acquired(inFlight savorystep.Slots) {
	m.peak = max(m.peak, inFlight)
}

// refuse notes that a unit was refused.
func (m *demandMeter) refuse(now time.Time, inFlight savorystep.Slots) {
	if now.Sub(m.refusedSince) >= refusalWindow {
		m.refused = 0
		m.refusedSince = now
	}
	m.refused++
	m.peak = max(m.peak, inFlight+m.refused)
}

// need returns the units needed lately.
func (m *demandMeter) need(now time.Time, inFlight savorystep.Slots) savorystep.Slots {
	m.roll(now, inFlight)
	return max(m.peak, m.lastPeak, inFlight)
}
