package upstream

import (
	"math"
	"time"

	"savorystep"
)

const (
	// peerAverageWindow is the time constant of the average of a peer's counts.
	peerAverageWindow = 500 * time.Millisecond
	// peerIntervalGain is the weight of the latest interval between reports in
	// the average interval.
	peerIntervalGain = 0.2
	// A count is used in full for freshIntervals average report intervals, then
	// fades out until staleIntervals.
	freshIntervals = 2
	staleIntervals = 4
)

// A peerCount estimates a peer's requests in flight to an endpoint between the
// peer's reports.
//
// reported is the last reported count, and average the moving average of the
// counts before it; both are valid at receivedAt. interval is the average
// interval between reports.
type peerCount struct {
	reported   savorystep.Slots
	receivedAt time.Time
	average    float64
	interval   time.Duration
}

// withReport returns the estimate after a new report. The average weighs each
// count by how long it lasted. The average interval is at least minInterval, so
// that reports in quick succession do not shorten the time for which a count is
// used.
func (c peerCount) withReport(count savorystep.Slots, now time.Time, minInterval time.Duration) peerCount {
	if c.receivedAt.IsZero() {
		return peerCount{reported: count, receivedAt: now, average: float64(count), interval: minInterval}
	}
	interval := c.interval + time.Duration(peerIntervalGain*float64(now.Sub(c.receivedAt)-c.interval))
	return peerCount{reported: count, receivedAt: now, average: c.averageAt(now), interval: max(interval, minInterval)}
}

// averageAt returns the moving average of the count at the given time.
func (c peerCount) averageAt(now time.Time) float64 {
	decay := math.Exp(-float64(now.Sub(c.receivedAt)) / float64(peerAverageWindow))
	return float64(c.reported) + decay*(c.average-float64(c.reported))
}

// expectedAt returns the estimated count at the given time. The reported
// requests end after about one service time, so the estimate moves from the
// reported count to the average. A count that is not reported again in time
// fades to 0, at maxAge at the latest, so that the requests of a crashed peer
// do not block free slots.
func (c peerCount) expectedAt(now time.Time, serviceTime, maxAge time.Duration) float64 {
	age := now.Sub(c.receivedAt)
	average := c.averageAt(now)
	expected := average + math.Exp(-float64(age)/float64(max(serviceTime, time.Millisecond)))*(float64(c.reported)-average)
	staleAge := min(staleIntervals*c.interval, maxAge)
	freshAge := staleAge * freshIntervals / staleIntervals
	if age <= freshAge {
		return expected
	}
	return expected * max(0, float64(staleAge-age)/float64(staleAge-freshAge))
}

// expired reports whether the count may be deleted. A reported count above 0 may
// be once it has faded. A count of 0 is kept until its average has decayed, so
// that the next report continues that average.
func (c peerCount) expired(now time.Time, maxAge time.Duration) bool {
	age := now.Sub(c.receivedAt)
	if c.reported > 0 {
		return age >= min(staleIntervals*c.interval, maxAge)
	}
	return age >= staleIntervals*peerAverageWindow
}
