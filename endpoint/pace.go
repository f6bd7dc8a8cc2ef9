package endpoint

import "time"

const (
	// paceShare is the share of a new measurement in the averages: with ten
	// requests a second they follow a change within about two seconds.
	paceShare = 0.05
	// firstKept and firstFetched stand for the averages until there are
	// measurements. Endpoints take about three times as long for an object
	// that they do not keep.
	firstKept    = 200 * time.Millisecond
	firstFetched = 600 * time.Millisecond
)

// A pace is how long the endpoints of a service take for a request that does
// not wait: for an object that the endpoint keeps, and for one that it has to
// fetch first.
type pace struct {
	kept, fetched time.Duration
}

func newPace() *pace {
	return &pace{kept: firstKept, fetched: firstFetched}
}

// note takes a measurement.
func (p *pace) note(kept bool, took time.Duration) {
	average := &p.fetched
	if kept {
		average = &p.kept
	}
	*average += time.Duration(paceShare * float64(took-*average))
}

// mean returns the time that a slot is taken by a request, most of which are
// for objects that are kept.
func (p *pace) mean() time.Duration {
	return (3*p.kept + p.fetched) / 4
}
