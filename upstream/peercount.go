package upstream

import (
	"math"
	"time"

	"savorystep"
)

const (
	// peerWindow is the time over which a peer's counts are averaged.
	peerAverageWindow = 500 * time.Millisecond
	// peerGain is the weight of one interval between facts in their average.
	peerIntervalGain = 0.2
	// A count holds in full for freshIntervals times the usual interval between
	// facts and not at all after staleIntervals.
	freshIntervals = 2
	staleIntervals = 4
)

// A peerCount estimates a peer's requests in flight to an endpoint between the
// facts about them.
type peerCount struct {
	reported   savorystep.Slots
	receivedAt time.Time
	average    float64
	interval   time.Duration
}

// hear returns the estimate after a newer fact. The average weighs counts by
// how long they lasted. The usual interval is taken as at least the given one,
// so that facts in quick succession do not shorten the time for which a count
// holds.
func (c peerCount) withReport(count savorystep.Slots, now time.Time, least time.Duration) peerCount {
	if c.receivedAt.IsZero() {
		return peerCount{reported: count, receivedAt: now, average: float64(count), interval: least}
	}
	interval := c.interval + time.Duration(peerIntervalGain*float64(now.Sub(c.receivedAt)-c.interval))
	return peerCount{reported: count, receivedAt: now, average: c.averageAt(now), interval: max(interval, least)}
}

// averageAt returns the average at a time.
func (c peerCount) averageAt(now time.Time) float64 {
	part := math.Exp(-float64(now.Sub(c.receivedAt)) / float64(peerAverageWindow))
	return float64(c.reported) + part*(c.average-float64(c.reported))
}

// at returns the expected count at a time. Requests last for the usual time,
// so that a count tells little about the present after a few times that; what
// is expected then is the average. A count that was not repeated as usual
// fades, at the latest at age, so that the counts of a dead peer do not keep
// free slots from being used.
func (c peerCount) expectedAt(now time.Time, usual, age time.Duration) float64 {
	since := now.Sub(c.receivedAt)
	average := c.averageAt(now)
	expected := average + math.Exp(-float64(since)/float64(max(usual, time.Millisecond)))*(float64(c.reported)-average)
	stale := min(staleIntervals*c.interval, age)
	fresh := stale * freshIntervals / staleIntervals
	if since <= fresh {
		return expected
	}
	return expected * max(0, float64(stale-since)/float64(stale-fresh))
}

// gone reports whether the count no longer matters at a time.
func (c peerCount) expired(now time.Time, age time.Duration) bool {
	since := now.Sub(c.receivedAt)
	if c.reported > 0 {
		return since >= min(staleIntervals*c.interval, age)
	}
	return since >= staleIntervals*peerAverageWindow
}
