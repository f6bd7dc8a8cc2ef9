package endpoint

import (
	"time"

	"savorystep"
)

const (
	// shedHold is how long an endpoint that refused for lack of room is passed
	// over, doubled with each further refusal in a row. A slot becomes free
	// about every 100 ms at 3 to 6 slots and 0.2 to 0.8 s of work.
	shedHold = 100 * time.Millisecond
	// brokenHold is how long an endpoint is passed over after failures in a
	// row, doubled with each further one.
	brokenHold = 500 * time.Millisecond
	// maxHold bounds both. An endpoint that is back is tried within it.
	maxHold = 4 * time.Second
	// brokenInRow is how many failures in a row start a hold. A single lost or
	// spoilt answer says nothing of the next.
	brokenInRow = 2
	// doubtLifetime ends the doubt about an endpoint whose reports stay away.
	// It is the longest warm-up in use, 3 s, and the wait for a report.
	doubtLifetime = 5 * time.Second
)

// A server is what this instance knows of one endpoint.
type server struct {
	savorystep.Endpoint
	hash     uint64
	inFlight savorystep.Slots
	report   report
	// coldUntil is when its warm-up ends by its own word.
	coldUntil time.Time
	// doubtUntil is the latest end of the doubt whether it started again. It
	// counts as cold until its reports pass doubtSequence.
	doubtUntil    time.Time
	doubtSequence uint64
	// sheds and broken count outcomes in a row.
	sheds, broken int
	heldUntil     time.Time
	// lapsesAt is when it gets no more requests, zero if it is listed.
	lapsesAt time.Time
	kept     keptObjects
	slowness slowness
	// coldSends are the times of recent requests while cold.
	coldSends []time.Time
}

// update takes a newer entry of the list.
func (s *server) update(now time.Time, entry savorystep.Endpoint) {
	reborn := entry.StartedAtMillis != s.StartedAtMillis || entry.Address != s.Address
	if reborn {
		s.report, s.sheds, s.broken, s.heldUntil = report{}, 0, 0, time.Time{}
		s.doubtUntil = time.Time{}
		s.kept, s.slowness = make(keptObjects), slowness{}
	}
	if reborn || entry.ReportSequence != s.ReportSequence {
		s.coldUntil = now.Add(entry.ColdRemaining)
	}
	s.Endpoint = entry
}

// doubt makes the endpoint count as cold until a report that was written after
// now. The next report may have been on its way, so the one after it counts.
func (s *server) doubt(now time.Time) {
	s.doubtUntil, s.doubtSequence = now.Add(doubtLifetime), s.ReportSequence+1
}

// isCold reports whether the endpoint is or may be cold.
func (s *server) isCold(now time.Time) bool {
	return now.Before(s.coldUntil) || (now.Before(s.doubtUntil) && s.ReportSequence <= s.doubtSequence)
}

// hasLapsed reports whether the endpoint was not listed again in time.
func (s *server) hasLapsed(now time.Time) bool {
	return !s.lapsesAt.IsZero() && !now.Before(s.lapsesAt)
}

// isHeld reports whether the endpoint failed lately.
func (s *server) isHeld(now time.Time) bool {
	return now.Before(s.heldUntil)
}

// load estimates the requests at the endpoint.
func (s *server) load(now time.Time) float64 {
	return float64(s.inFlight) + s.report.others(now)
}

// end takes the outcome of an attempt.
func (s *server) end(now time.Time, outcome Outcome) {
	switch outcome {
	case OutcomeAnswered:
		s.sheds, s.broken = 0, 0
	case OutcomeFailed, OutcomeBrokenResponse, OutcomeTimedOut:
		s.broken++
		if s.broken >= brokenInRow {
			s.hold(now, brokenHold, s.broken-brokenInRow)
		}
	case OutcomeMisdirected:
		s.heldUntil = now.Add(maxHold)
	case OutcomeConnectFailed:
		s.broken++
		s.hold(now, brokenHold, s.broken-1)
		s.doubt(now)
	case OutcomeShed:
		s.hold(now, shedHold, s.sheds)
		s.sheds++
	case OutcomeCancelled, OutcomeResponseDropped:
	}
}

// hold passes the endpoint over for a time that doubles with each step.
func (s *server) hold(now time.Time, base time.Duration, step int) {
	until := now.Add(min(base<<min(step, 10), maxHold))
	if until.After(s.heldUntil) {
		s.heldUntil = until
	}
}
