package endpoint

import "time"

const (
	// fasterWeight and slowerWeight are the weights of a measurement below and
	// above the estimate. With weights of three to one the estimate settles at the
	// lower quartile, because some requests wait for requests of other instances
	// that this one does not see.
	fasterWeight = 0.09
	slowerWeight = 0.03
	// initialCached and initialUncached are the estimates before the first
	// measurements. Endpoints take about three times as long for an object that
	// they do not have cached.
	initialCached   = 200 * time.Millisecond
	initialUncached = 600 * time.Millisecond
	// maxMeasuredLatency bounds a measurement. No caller waits for so long, and products
	// of the estimates still fit a time.Duration, whose overflow differs between
	// processors.
	maxMeasuredLatency = time.Minute
)

// A latencyEstimate estimates how long the endpoints of a service take for a
// request that does not wait for a slot, separately for cached objects and for
// objects that the endpoint has to fetch first.
type latencyEstimate struct {
	cached, uncached time.Duration
	// isMeasured is true after the first measurement.
	isMeasured bool
}

func newLatencyEstimate() *latencyEstimate {
	return &latencyEstimate{cached: initialCached, uncached: initialUncached}
}

// record adds a measurement.
func (l *latencyEstimate) record(cached bool, latency time.Duration) {
	l.isMeasured = true
	latency = min(latency, maxMeasuredLatency)
	estimate := &l.uncached
	if cached {
		estimate = &l.cached
	}
	weight := slowerWeight
	if latency < *estimate {
		weight = fasterWeight
	}
	*estimate += time.Duration(weight * float64(latency-*estimate))
}

// mean returns how long a request occupies a slot on average. Three of four
// requests are assumed to be for cached objects.
func (l *latencyEstimate) mean() time.Duration {
	return (3*l.cached + l.uncached) / 4
}
