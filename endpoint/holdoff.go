package endpoint

import (
	"time"

	"savorystep"
)

// A holdOff keeps the requests of this instance from an endpoint that has rejected one
// and stated for how long it wants none. After that time they return as fast as the
// endpoint answers: one at first, and one more at a time with each answer.
type holdOff struct {
	// until is the end of the stated time. Requests that were sent from then on are
	// returning.
	until time.Time
	// maxReturning is the number of returning requests that may be in flight, zero if
	// the endpoint has never stated a time or all requests have returned. returning is
	// the number of those in flight.
	maxReturning, returning int
}

// isClosed reports whether the stated time has not passed.
func (h *holdOff) isClosed(now time.Time) bool {
	return h.maxReturning > 0 && now.Before(h.until)
}

// hasRoom reports whether the endpoint may get a request unless it is closed.
func (h *holdOff) hasRoom() bool {
	return h.maxReturning == 0 || h.returning < h.maxReturning
}

// start records a stated time. The responses to requests that were in flight when the
// endpoint first stated one may move its end, to the latest that any of them states.
// It returns false if the end stays.
func (h *holdOff) start(now time.Time, wait time.Duration) bool {
	until := now.Add(wait)
	if wait <= 0 || !until.After(h.until) {
		return false
	}
	h.until, h.maxReturning, h.returning = until, 1, 0
	return true
}

// countRequest counts a request that is sent now.
func (h *holdOff) countRequest() {
	if h.maxReturning > 0 {
		h.returning++
	}
}

// finish records the end of a request that was sent at sentAt. Without a limit at
// maxInFlight requests the others have their own.
func (h *holdOff) finish(sentAt time.Time, outcome Outcome, maxInFlight int) {
	if h.maxReturning == 0 || sentAt.Before(h.until) {
		return
	}
	h.returning = max(0, h.returning-1)
	if outcome == OutcomeAnswered || outcome == OutcomeFailed {
		h.maxReturning++
	}
	if h.maxReturning >= maxInFlight {
		h.maxReturning, h.returning = 0, 0
	}
}

// RecordRetryAfter records that the response to a choice rejected the request and
// stated that the endpoint wants no requests from this instance for a time. It returns
// the end of that time, and true if it has begun or was moved. The endpoint may be
// missing from the list at present.
func (t *Table) RecordRetryAfter(now time.Time, choice Choice, wait time.Duration) (time.Time, bool) {
	h := t.knownHoldOff(choice.Endpoint)
	if h == nil {
		return time.Time{}, false
	}
	isChanged := h.start(now, wait)
	return h.until, isChanged
}

// knownHoldOff returns the hold-off of the incarnation of an endpoint, which is that of
// its tombstone if it is not listed. It returns nil if neither is known.
func (t *Table) knownHoldOff(e savorystep.Endpoint) *holdOff {
	if s := t.byID[e.ID]; s != nil && s.StartedAtMillis == e.StartedAtMillis {
		return &s.holdOff
	}
	if tomb := t.tombstones[e.ID]; tomb != nil && tomb.startedAtMillis == e.StartedAtMillis {
		return &tomb.holdOff
	}
	return nil
}

// EarliestReturn returns when the first of the endpoints that a request may use,
// whether it was sent to them or not, wants requests again. It returns false unless all
// of them want none now.
func (t *Table) EarliestReturn(now time.Time, query Query) (time.Time, bool) {
	query.AttemptedEndpoints = nil
	var earliest time.Time
	for _, s := range t.byService[query.Service] {
		switch {
		case t.checkAvailability(now, s, &query) != ExclusionNone:
		case t.checkRoom(now, s) != ExclusionClosed:
			return time.Time{}, false
		case earliest.IsZero() || s.holdOff.until.Before(earliest):
			earliest = s.holdOff.until
		}
	}
	return earliest, !earliest.IsZero()
}

// CountClosed returns the number of endpoints that want no requests from this instance
// now.
func (t *Table) CountClosed(now time.Time) int {
	count := 0
	for _, s := range t.byID {
		if s.holdOff.isClosed(now) {
			count++
		}
	}
	return count
}

// holdOffOf returns the hold-off of an endpoint that is added: that of its tombstone if
// it is the same incarnation, or else none. The ends of requests that were in flight at
// the removal are not counted.
func (t *Table) holdOffOf(entry savorystep.Endpoint) holdOff {
	tomb := t.tombstones[entry.ID]
	if tomb == nil || tomb.startedAtMillis != entry.StartedAtMillis {
		return holdOff{}
	}
	h := tomb.holdOff
	h.returning = 0
	return h
}
