package endpoint

import (
	"time"

	"savorystep"
)

// A Restart says that the endpoint list has a new incarnation of a known endpoint.
type Restart struct {
	Endpoint savorystep.Endpoint
	// PreviousStartedAtMillis is the start of the earlier incarnation.
	PreviousStartedAtMillis int64
	// SuspectedFor is for how long the endpoint has counted as cold before, because it
	// was suspected to have restarted. It is zero if it was not.
	SuspectedFor time.Duration
	// SentWarm and SentCold are the numbers of requests that this instance sent in the
	// last coldWindow while the endpoint counted as warm and as cold. Those that were
	// sent after the restart reached the new incarnation.
	SentWarm, SentCold int
}

// RestartTotals are sums over all restarts since the start of this instance.
type RestartTotals struct {
	Restarts, Suspected, SentWarm uint64
}

// recordRestart records that an entry is that of a new incarnation of an endpoint.
func (t *Table) recordRestart(now time.Time, entry savorystep.Endpoint, previousStart int64, suspectedSince time.Time, recent *recentRequests) {
	restart := Restart{Endpoint: entry, PreviousStartedAtMillis: previousStart}
	if !suspectedSince.IsZero() {
		restart.SuspectedFor = now.Sub(suspectedSince)
		t.restartTotals.Suspected++
	}
	restart.SentWarm, restart.SentCold = recent.count(now)
	t.restartTotals.Restarts++
	t.restartTotals.SentWarm += uint64(restart.SentWarm) //nolint:gosec // A number of elements is not negative.
	t.restarts = append(t.restarts, restart)
}

// suspicionStart returns when this instance began to suspect that an endpoint has
// restarted, zero if it does not.
func (t *Table) suspicionStart(now time.Time, s *endpointState) time.Time {
	switch {
	case s.ending != nil && now.Sub(s.ending.heardAt) < maxEndingTime:
		return s.ending.since
	case s.isSuspect(now):
		return s.suspectSince
	default:
		return time.Time{}
	}
}

// TakeRestarts returns the restarts since the last call.
func (t *Table) TakeRestarts() []Restart {
	restarts := t.restarts
	t.restarts = nil
	return restarts
}

// RestartTotals returns sums over all restarts since the start of this instance.
func (t *Table) RestartTotals() RestartTotals {
	return t.restartTotals
}
