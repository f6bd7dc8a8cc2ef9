package endpoint

import (
	"time"

	"savorystep"
)

const (
	// shedBackoff is how long no request goes to an endpoint that shed one. It
	// doubles with each further shed request in a row. A slot becomes free about
	// every 100 ms with 3 to 6 slots and 0.2 to 0.8 s of work for each request.
	shedBackoff = 100 * time.Millisecond
	// failureBackoff is how long no request goes to an endpoint after failures in
	// a row. It doubles with each further failure.
	failureBackoff = 500 * time.Millisecond
	// maxBackoff limits both, so that an endpoint that has recovered gets requests
	// again within this time.
	maxBackoff = 4 * time.Second
	// failureThreshold is the number of failures in a row that starts a backoff. A
	// single lost or invalid response does not predict the next one.
	failureThreshold = 2
	// coldSuspicionTimeout ends the suspicion that an endpoint is cold if its
	// reports do not arrive. It is the longest warm-up in use, 3 s, plus the time
	// until the next report.
	coldSuspicionTimeout = 5 * time.Second
)

// An endpointState is an endpoint as it was last listed, with what this instance
// has measured of it.
type endpointState struct {
	savorystep.Endpoint
	idHash uint64
	// ownRank is the position of this instance in the ranking of the instances for the
	// endpoint, as of ownRankVersion of the set of instances.
	ownRank, ownRankVersion int
	inFlight                savorystep.Slots
	// addedAfter is the number of the last choice before the endpoint was added. Earlier
	// choices are not in flight here.
	addedAfter  uint64
	foreignLoad foreignLoad
	// warmAt is when its warm-up ends according to its last report.
	warmAt time.Time
	// suspectUntil is when the suspicion that it was restarted ends at the latest.
	// Until then it counts as cold, unless a report with a sequence number above
	// suspectSequence arrives.
	suspectUntil    time.Time
	suspectSequence uint64
	// suspectSince is when that suspicion began.
	suspectSince time.Time
	// answeredAt is when it last answered a request of this instance.
	answeredAt time.Time
	// checkedWarmAt is when it last stated in a health check that it is warm.
	checkedWarmAt time.Time
	// ending is the end of this incarnation or of a later one, nil if none is known.
	ending *ending
	// shedsInRow and failuresInRow count outcomes since the last success.
	shedsInRow, failuresInRow int
	backoffUntil              time.Time
	// isBackoffForRoom is true if the backoff began because the endpoint had no room.
	isBackoffForRoom bool
	// isLeaving is true if the endpoint has said in a response that it leaves.
	isLeaving bool
	// expiresAt is when it stops getting requests, zero if it is listed.
	expiresAt   time.Time
	holdOff     holdOff
	cached      cachedObjects
	slowness    slowness
	rateLimiter rateLimiter
	recent      recentRequests
}

// isNewerReport reports whether an entry has a newer report than the known one.
func (s *endpointState) isNewerReport(entry savorystep.Endpoint) bool {
	if entry.StartedAtMillis != s.StartedAtMillis {
		return entry.StartedAtMillis > s.StartedAtMillis
	}
	return entry.ReportSequence > s.ReportSequence
}

// update replaces the listed endpoint by a newer entry. If it was restarted, the
// measurements are dropped.
func (s *endpointState) update(now time.Time, entry savorystep.Endpoint) {
	isRestarted := entry.StartedAtMillis != s.StartedAtMillis || entry.Address != s.Address
	if isRestarted {
		s.forgetMeasurements()
		s.shedsInRow, s.failuresInRow, s.backoffUntil = 0, 0, time.Time{}
		s.suspectUntil = time.Time{}
		s.rateLimiter, s.holdOff = s.rateLimiter.afterRestart(now), holdOff{}
	}
	if isRestarted || entry.ReportSequence != s.ReportSequence {
		s.warmAt = now.Add(entry.ColdRemaining)
	}
	s.Endpoint = entry
}

// forgetMeasurements drops what was measured of an incarnation that has ended.
func (s *endpointState) forgetMeasurements() {
	s.foreignLoad, s.cached, s.slowness = foreignLoad{}, make(cachedObjects), slowness{}
}

// suspectCold makes the endpoint count as cold until the second report from now
// on. The next report may have been sent before.
func (s *endpointState) suspectCold(now time.Time) {
	if !s.isSuspect(now) {
		s.suspectSince = now
	}
	s.suspectUntil, s.suspectSequence = now.Add(coldSuspicionTimeout), s.ReportSequence+1
}

// isSuspect reports whether the endpoint is suspected to be cold.
func (s *endpointState) isSuspect(now time.Time) bool {
	return now.Before(s.suspectUntil) && s.ReportSequence <= s.suspectSequence
}

// isCold reports whether the endpoint is or may be cold.
func (s *endpointState) isCold(now time.Time) bool {
	return now.Before(s.warmAt) || s.isSuspect(now)
}

// coldUntil returns when a cold endpoint no longer counts as cold, unless it reports
// something else before.
func (s *endpointState) coldUntil(now time.Time) time.Time {
	if s.isSuspect(now) && s.suspectUntil.After(s.warmAt) {
		return s.suspectUntil
	}
	return s.warmAt
}

// isExpired reports whether the endpoint was not listed again before its expiry.
func (s *endpointState) isExpired(now time.Time) bool {
	return !s.expiresAt.IsZero() && !now.Before(s.expiresAt)
}

// isInBackoff reports whether the endpoint gets no requests because it shed or
// failed recent ones.
func (s *endpointState) isInBackoff(now time.Time) bool {
	return now.Before(s.backoffUntil)
}

// load estimates the requests of all instances at the endpoint.
func (s *endpointState) load(now time.Time) float64 {
	return float64(s.inFlight) + s.foreignLoad.estimate(now)
}

// recordOutcome records the outcome of an attempt.
func (s *endpointState) recordOutcome(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeAnswered:
		s.shedsInRow, s.failuresInRow = 0, 0
	case OutcomeFailed, OutcomeBrokenResponse, OutcomeTimedOut:
		s.failuresInRow++
		if s.failuresInRow >= failureThreshold {
			s.isBackoffForRoom = false
			s.backOff(now, failureBackoff, s.failuresInRow-failureThreshold)
		}
	case OutcomeMisdirected:
		s.backoffUntil, s.isBackoffForRoom = now.Add(maxBackoff), false
	case OutcomeConnectFailed, OutcomeConnectReset:
		s.failuresInRow++
		s.isBackoffForRoom = outcome == OutcomeConnectReset
		s.backOff(now, failureBackoff, s.failuresInRow-1)
		if outcome == OutcomeConnectFailed {
			s.suspectCold(now)
		}
	case OutcomeShed:
		if s.holdOff.isClosed(now) {
			// The endpoint has stated when it wants requests again.
			return
		}
		s.isBackoffForRoom = s.isBackoffForRoom || !s.isInBackoff(now)
		s.backOff(now, shedBackoff, s.shedsInRow)
		s.shedsInRow++
	case OutcomeCancelled, OutcomeResponseDropped, OutcomeWithdrawn:
	}
}

// backOff keeps requests from the endpoint for a time that starts at base and
// doubles with each step.
func (s *endpointState) backOff(now time.Time, base time.Duration, step int) {
	until := now.Add(min(base<<min(step, 10), maxBackoff))
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}
