package upstream

import (
	"math"
	"time"

	"savorystep"
)

const (
	// peerWindow is the time over which a peer's counts are averaged.
	peerWindow = 500 * time.Millisecond
	// peerGain is the weight of one interval between facts in their average.
	peerGain = 0.2
	// A count holds in full for freshIntervals times the usual interval between
	// facts and not at all after staleIntervals.
	freshIntervals = 2
	staleIntervals = 4
)

// A peerCount estimates a peer's requests in flight to an endpoint between the
// facts about them.
type peerCount struct {
	last     savorystep.Slots
	heard    time.Time
	average  float64
	interval time.Duration
}

// hear returns the estimate after a newer fact. The average weighs counts by
// how long they lasted. The usual interval is taken as at least the given one,
// so that facts in quick succession do not shorten the time for which a count
// holds.
func (c peerCount) hear(count savorystep.Slots, now time.Time, least time.Duration) peerCount {
	if c.heard.IsZero() {
		return peerCount{last: count, heard: now, average: float64(count), interval: least}
	}
	interval := c.interval + time.Duration(peerGain*float64(now.Sub(c.heard)-c.interval))
	return peerCount{last: count, heard: now, average: c.averageAt(now), interval: max(interval, least)}
}

// averageAt returns the average at a time.
func (c peerCount) averageAt(now time.Time) float64 {
	part := math.Exp(-float64(now.Sub(c.heard)) / float64(peerWindow))
	return float64(c.last) + part*(c.average-float64(c.last))
}

// at returns the expected count at a time. Requests last for the usual time,
// so that a count tells little about the present after a few times that; what
// is expected then is the average. A count that was not repeated as usual
// fades, at the latest at age, so that the counts of a dead peer do not keep
// free slots from being used.
func (c peerCount) at(now time.Time, usual, age time.Duration) float64 {
	since := now.Sub(c.heard)
	average := c.averageAt(now)
	expected := average + math.Exp(-float64(since)/float64(max(usual, time.Millisecond)))*(float64(c.last)-average)
	stale := min(staleIntervals*c.interval, age)
	fresh := stale * freshIntervals / staleIntervals
	if since <= fresh {
		return expected
	}
	return expected * max(0, float64(stale-since)/float64(stale-fresh))
}

// gone reports whether the count no longer matters at a time.
func (c peerCount) gone(now time.Time, age time.Duration) bool {
	since := now.Sub(c.heard)
	if c.last > 0 {
		return since >= min(staleIntervals*c.interval, age)
	}
	return since >= staleIntervals*peerWindow
}
