package endpoint

import (
	"time"

	"savorystep"
)

const (
	// leavingTTL is how long a leaving endpoint is remembered after this instance last
	// heard of it. A leaving endpoint runs for the drain time and at times many
	// seconds longer, and the store may be away for minutes before it removes the
	// entry.
	leavingTTL = 10 * time.Minute
	// maxLeavings bounds the number of leaving endpoints that are remembered. The
	// largest deployment in use has 777 endpoints, of which each may restart within
	// leavingTTL under a new id.
	maxLeavings = 4096
	// maxListingDelay is how long after the start of an endpoint responses of it may be
	// taken for those of its earlier incarnation, because the new one is not listed yet.
	// Endpoints are listed within two heartbeats and a read of the list, 4 s.
	maxListingDelay = 10 * time.Second
)

// A leaving records that an incarnation of an endpoint has said in a response that it
// leaves. It is kept apart from the endpoint list, which may still or again have an
// entry of that incarnation.
type leaving struct {
	startedAtMillis int64
	heardAt         time.Time
	// saidAt is when a response to this instance last said so, zero if none did.
	saidAt time.Time
}

// RecordLeaving records that the response to a choice said that its endpoint leaves.
// It returns false if that was known.
func (t *Table) RecordLeaving(now time.Time, choice Choice) bool {
	id := choice.Endpoint.ID
	isNew := t.ApplyLeaving(now, id, choice.Endpoint.StartedAtMillis)
	if known, ok := t.leavings[id]; ok && known.startedAtMillis == choice.Endpoint.StartedAtMillis {
		known.saidAt = now
		t.leavings[id] = known
	}
	return isNew
}

// ApplyLeaving records that another instance heard that the incarnation of an endpoint
// that started at startedAtMillis leaves, whether the endpoint is listed or not. It
// returns false if that was known, or if that incarnation is no longer the latest.
func (t *Table) ApplyLeaving(now time.Time, id savorystep.EndpointID, startedAtMillis int64) bool {
	s := t.byID[id]
	if s != nil && s.StartedAtMillis > startedAtMillis {
		return false
	}
	known, ok := t.leavings[id]
	if ok && known.startedAtMillis > startedAtMillis {
		return false
	}
	if !ok {
		t.evictLeavings(now)
	}
	t.leavings[id] = leaving{startedAtMillis: startedAtMillis, heardAt: now, saidAt: known.saidAt}
	if s != nil {
		s.isLeaving = true
	}
	return !ok || known.startedAtMillis != startedAtMillis
}

// updateLeaving updates whether an endpoint leaves after its entry was put: that is the
// case if its incarnation or a later one has said so. An entry of an earlier incarnation
// names a process that no longer exists. A later incarnation is clean, but the last
// response that said so may have come from it before it was listed, so requests return
// to it one by one.
func (t *Table) updateLeaving(now time.Time, s *endpointState) {
	known, ok := t.leavings[s.ID]
	switch {
	case !ok:
		s.isLeaving = false
	case s.StartedAtMillis > known.startedAtMillis:
		delete(t.leavings, s.ID)
		s.isLeaving = false
		if !known.saidAt.IsZero() && now.Sub(known.saidAt) < maxListingDelay {
			s.holdOff = holdOff{until: now, maxReturning: 1}
		}
	default:
		s.isLeaving = true
		known.heardAt = now
		t.leavings[s.ID] = known
	}
}

// evictLeavings deletes what is older than leavingTTL and, if there is no room for one
// more, the oldest that is left. Those of listed endpoints are kept.
func (t *Table) evictLeavings(now time.Time) {
	var oldest savorystep.EndpointID
	var oldestAt time.Time
	for id, known := range t.leavings {
		s := t.byID[id]
		switch {
		case s != nil && s.isLeaving:
		case now.Sub(known.heardAt) >= leavingTTL:
			delete(t.leavings, id)
		case oldestAt.IsZero() || known.heardAt.Before(oldestAt):
			oldest, oldestAt = id, known.heardAt
		}
	}
	if len(t.leavings) >= maxLeavings {
		delete(t.leavings, oldest)
	}
}

// IsStopping reports whether an endpoint stops as planned, or may: it has said that it
// leaves, or is not listed any more. A later incarnation at its address may have run what
// was sent to it, and is considered in its place.
func (t *Table) IsStopping(e savorystep.Endpoint) bool {
	if known, ok := t.leavings[e.ID]; ok && known.startedAtMillis == e.StartedAtMillis {
		return true
	}
	s := t.byID[e.ID]
	if s == nil || s.StartedAtMillis < e.StartedAtMillis || (s.StartedAtMillis > e.StartedAtMillis && s.Address != e.Address) {
		return true
	}
	return s.State == savorystep.StateLeaving || s.isLeaving
}

// CountLeaving returns the number of listed endpoints that have said that they leave.
func (t *Table) CountLeaving() int {
	count := 0
	for _, s := range t.byID {
		if s.isLeaving {
			count++
		}
	}
	return count
}
