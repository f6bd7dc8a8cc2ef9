package endpoint

import (
	"strconv"
	"time"

	"savorystep"
)

const (
	// expiryTime is how long after the end of an endpoint its entry is read at most: three
	// report intervals of 1.5 s, and the time until its removal is read.
	expiryTime = 6 * time.Second
	// maxEndingTime bounds how long an endpoint that has ended counts as cold while the
	// endpoint list can't be read. Endpoints start again within some seconds, and warm up
	// in 3 s.
	maxEndingTime = 30 * time.Second
	// maxListAge is how long before the end of a warm-up the last read of the list has
	// begun at the latest, for a restart within it to be listed: the interval between
	// reads, 0.8 s, and the time of a read.
	maxListAge = time.Second
	// entryReturnTime is how long after an outage of the list all endpoints that run have
	// written their entries. A start during the outage may be missing until then.
	entryReturnTime = 2 * time.Second
	// maxWarmupCheckDelay is how much longer an endpoint counts as cold that may have
	// started again in its warm-up and is asked for it: two checks that time out.
	maxWarmupCheckDelay = time.Second
	// endingReportInterval is the time between two reports of the same ending to the other
	// instances. A second ending of an endpoint that is not listed in between is reported
	// with the next one.
	endingReportInterval = time.Second
	// maxReportAge is how old a report of another instance may be. What is older was held
	// up by a cut or a standstill. Each of up to four instances that forward it rounds the
	// age up to a second.
	maxReportAge = 5 * time.Second
	// maxEndings bounds the number of endings that are remembered. The largest deployment
	// in use has 777 endpoints.
	maxEndings = 4096
)

// An ending records that an incarnation of an endpoint has ended: nothing listened at its
// address any more. The endpoint list may still have it as before, also when the next one
// runs already. It is kept apart from the list, from which the entry may be missing for a
// time.
type ending struct {
	startedAtMillis int64
	// since is when this instance learnt of it first, heardAt when last.
	since, heardAt time.Time
	// expiresAt is when the entry would have been removed from the endpoint list, had
	// there been no report since heardAt.
	expiresAt time.Time
	// answeredAt is when an endpoint at that address first answered a request that was
	// sent after heardAt, zero before.
	answeredAt time.Time
	// isUnproven is true if the incarnation may run: it was only silent, or was cold when
	// the endpoint list could not be read any more.
	isUnproven bool
	// reportedAt is when this instance or another one last reported it.
	reportedAt time.Time
}

// hear records that the incarnation was found to have ended.
func (e *ending) hear(now time.Time) {
	e.heardAt, e.expiresAt, e.answeredAt = now, now.Add(expiryTime), time.Time{}
}

// RecordEnded records that this instance found that nothing listens at the address of an
// endpoint any more. It returns true if the other instances are to be told.
func (t *Table) RecordEnded(now time.Time, e savorystep.Endpoint) bool {
	isStopping, previous := t.IsStopping(e), t.endings[e.ID]
	// A process that has answered since the last report was another one.
	isAnother := previous != nil && !previous.answeredAt.IsZero()
	known := t.hearEnding(now, e.ID, e.StartedAtMillis, false)
	if known == nil || isStopping || !isAnother && now.Sub(known.reportedAt) < endingReportInterval {
		return false
	}
	known.reportedAt = now
	return true
}

// NeedsWarmupCheck reports whether an endpoint that closed a connection under a request
// may have started again without being known to have ended. One that has answered since
// its last known end may have ended once more.
func (t *Table) NeedsWarmupCheck(now time.Time, e savorystep.Endpoint) bool {
	s := t.byID[e.ID]
	if s == nil || s.StartedAtMillis != e.StartedAtMillis || t.IsStopping(e) {
		return false
	}
	return s.ending == nil || !s.ending.answeredAt.IsZero() || !now.Before(t.endingUntil(s))
}

// mayRestartUnread reports whether an endpoint whose warm-up ends at warmAt may have started
// again in it. Few requests go to a cold endpoint, so its end may not be found, and the
// endpoint list was not read since, or not after all endpoints could write to it again.
func (t *Table) mayRestartUnread(s *endpointState, warmAt time.Time) bool {
	if !s.checkedWarmAt.Before(warmAt) {
		return false
	}
	if t.isListFailing || !t.listBackAt.IsZero() && warmAt.Before(t.listBackAt.Add(entryReturnTime)) {
		return true
	}
	return !t.lastListRead.IsZero() && warmAt.Sub(t.lastListRead) > maxListAge
}

// DueWarmupChecks returns the endpoints whose warm-up is over, unless they started again in
// it without being found to have ended.
func (t *Table) DueWarmupChecks(now time.Time) []savorystep.Endpoint {
	var due []savorystep.Endpoint
	for _, s := range t.byID {
		warmAt := t.knownWarmAt(s)
		isCold := now.Before(t.unreadWarmupEnd(s)) || s.ending != nil && !s.ending.answeredAt.IsZero() && now.Before(t.endingUntil(s))
		if isCold && !now.Before(warmAt) && t.mayRestartUnread(s, warmAt) {
			due = append(due, s.Endpoint)
		}
	}
	return due
}

// RecordWarm records that an endpoint stated that it is warm.
func (t *Table) RecordWarm(now time.Time, e savorystep.Endpoint) {
	if s := t.byID[e.ID]; s != nil && s.StartedAtMillis == e.StartedAtMillis {
		s.checkedWarmAt = now
	}
}

// RecordCold records that an endpoint stated that it stays cold for remaining. If that is
// longer than its entry says, the listed incarnation has ended, or is cold once more. It
// returns true if the other instances are to be told.
func (t *Table) RecordCold(now time.Time, e savorystep.Endpoint, remaining time.Duration) bool {
	s := t.byID[e.ID]
	if s == nil || s.StartedAtMillis != e.StartedAtMillis || !now.Add(remaining).After(t.knownWarmAt(s)) {
		return false
	}
	isDue := t.RecordEnded(now, e)
	if s.ending != nil {
		s.ending.answeredAt = now
	}
	return isDue
}

// knownWarmAt returns when the latest warm-up of an endpoint that is known ends, by its
// entry or by its first answer since it ended.
func (t *Table) knownWarmAt(s *endpointState) time.Time {
	if s.ending == nil || s.ending.answeredAt.IsZero() {
		return s.warmAt
	}
	if answered := s.ending.answeredAt.Add(t.specs[s.Service].Warmup); answered.After(s.warmAt) {
		return answered
	}
	return s.warmAt
}

// ParseColdRemaining parses the remaining warm-up time in a response to a health check, in
// milliseconds. It returns false for one that is not positive.
func ParseColdRemaining(text string) (time.Duration, bool) {
	millis, err := strconv.ParseUint(text, 10, 31)
	return time.Duration(millis) * time.Millisecond, err == nil && millis > 0
}

// ApplyEnded records that another instance found, an age ago, that the incarnation of an
// endpoint that started at startedAtMillis has ended. It returns false if that was known,
// or if that incarnation is no longer the latest. An old report of a known ending changes
// nothing: the endpoint may have started and answered since.
func (t *Table) ApplyEnded(now time.Time, id savorystep.EndpointID, startedAtMillis int64, age time.Duration) bool {
	previous := t.endings[id]
	if age > maxReportAge && previous != nil && previous.startedAtMillis == startedAtMillis {
		return false
	}
	known := t.hearEnding(now, id, startedAtMillis, false)
	if known == nil {
		return false
	}
	known.reportedAt = now
	return known != previous
}

// hearEnding returns the ending of an incarnation after it was found to have ended, nil if
// that incarnation is no longer the latest.
func (t *Table) hearEnding(now time.Time, id savorystep.EndpointID, startedAtMillis int64, isUnproven bool) *ending {
	s := t.byID[id]
	if s != nil && s.StartedAtMillis > startedAtMillis {
		return nil
	}
	known := t.endings[id]
	switch {
	case known != nil && known.startedAtMillis > startedAtMillis:
		return nil
	case known == nil || known.startedAtMillis < startedAtMillis:
		t.evictEndings(now)
		known = &ending{startedAtMillis: startedAtMillis, since: now, isUnproven: isUnproven}
		t.endings[id] = known
	}
	known.hear(now)
	known.isUnproven = known.isUnproven && isUnproven
	if s != nil {
		s.ending = known
		if !known.isUnproven {
			s.forgetMeasurements()
		}
	}
	return known
}

// updateEnding updates what is known of the end of an endpoint after its entry was put. A
// later incarnation than the one that ended is listed with the time for which it is cold.
func (t *Table) updateEnding(s *endpointState) {
	known := t.endings[s.ID]
	if known != nil && s.StartedAtMillis > known.startedAtMillis {
		delete(t.endings, s.ID)
		known = nil
	}
	s.ending = known
}

// evictEndings deletes the endings that are too old to count and, if there is no room for
// one more, the oldest that is left.
func (t *Table) evictEndings(now time.Time) {
	var oldest savorystep.EndpointID
	var oldestAt time.Time
	for id, known := range t.endings {
		switch {
		case now.Sub(known.heardAt) >= maxEndingTime:
			delete(t.endings, id)
		case oldestAt.IsZero() || known.heardAt.Before(oldestAt):
			oldest, oldestAt = id, known.heardAt
		}
	}
	if len(t.endings) >= maxEndings {
		delete(t.endings, oldest)
	}
}

// endingUntil returns until when an endpoint counts as cold because its listed incarnation
// has ended, the zero time if it has not. It ends earlier if a new incarnation is listed.
// Whatever has answered was started before, so it is warm a warm-up later. Without an
// answer, an endpoint that is still listed when its entry would have been removed has not
// ended.
func (t *Table) endingUntil(s *endpointState) time.Time {
	switch e := s.ending; {
	case e == nil:
		return time.Time{}
	case !e.answeredAt.IsZero():
		warmAt := e.answeredAt.Add(t.specs[s.Service].Warmup)
		if t.mayRestartUnread(s, warmAt) {
			return warmAt.Add(maxWarmupCheckDelay)
		}
		return warmAt
	case t.isListFailing || !t.lastListRead.After(e.expiresAt):
		// The list was not read since then.
		return e.heardAt.Add(maxEndingTime)
	default:
		return e.expiresAt
	}
}

// recordAnswer records that an endpoint answered a request that was sent at sentAt. It
// tells nothing about an ending that is no longer in force.
func (t *Table) recordAnswer(now time.Time, s *endpointState, sentAt time.Time) {
	if e := s.ending; e != nil && e.answeredAt.IsZero() && sentAt.After(e.heardAt) && now.Before(t.endingUntil(s)) {
		e.answeredAt = now
	}
}

// SetListFailing records whether the endpoint list can't be read at present. When it can
// again, the time until entries of ended endpoints are removed begins anew: the store may
// not have counted the silence of endpoints meanwhile.
func (t *Table) SetListFailing(now time.Time, isFailing bool) {
	if t.isListFailing && !isFailing {
		t.listBackAt = now
		t.evictEndings(now)
		for _, e := range t.endings {
			if latest := e.heardAt.Add(maxEndingTime); e.expiresAt.Before(latest) {
				e.expiresAt = minTime(now.Add(expiryTime), latest)
			}
		}
	}
	if !t.isListFailing && isFailing {
		for id, s := range t.byID {
			if now.Before(s.warmAt) && s.ending == nil {
				// If it starts again, no request need find it, and the list can't tell.
				t.hearEnding(now, id, s.StartedAtMillis, true)
			}
		}
	}
	t.isListFailing = isFailing
}

// minTime returns the earlier one of two times.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
