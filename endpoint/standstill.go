package endpoint

import "time"

const (
	// minStandstill is the shortest gap between two ticks in which an instance stood
	// still. Instances tick every 250 ms, and a tick is up to a second late on a busy
	// machine.
	minStandstill = time.Second
	// maxUnread is how long endpoints count as cold at most because the list was not read
	// since the instance stood still. It exceeds the interval between reads, 0.8 s.
	maxUnread = 1500 * time.Millisecond
)

// A standstill records that an instance stood still: it was frozen, or got no
// processor. What it knows of endpoints is as old as the standstill was long.
type standstill struct {
	lastTick time.Time
	// unreadSince is when the instance ran again, zero if the endpoint list was read
	// since.
	unreadSince time.Time
}

// tick records that the instance runs, at runtime by a clock that counts suspensions.
// Neighbouring ticks that are far apart show that it stood still in between.
func (s *standstill) tick(now, runtime time.Time) {
	if !s.lastTick.IsZero() && runtime.Sub(s.lastTick) >= minStandstill {
		s.unreadSince = now
	}
	if runtime.After(s.lastTick) {
		s.lastTick = runtime
	}
}

// isUnread reports whether the endpoint list was not read since a standstill.
func (s *standstill) isUnread(now time.Time) bool {
	return !s.unreadSince.IsZero() && now.Sub(s.unreadSince) < maxUnread
}

// Tick records that this instance runs at now, which is runtime by a clock that counts
// suspensions of the machine. It is called at short intervals and before each Choose.
// After a standstill, all endpoints count as cold until ListRead.
func (t *Table) Tick(now, runtime time.Time) {
	t.standstill.tick(now, runtime)
}

// ListRead records that a read of the endpoint list which began at startedAt has
// succeeded. After one that failed, an instance that stood still does not know which
// endpoints the others found to have ended meanwhile.
func (t *Table) ListRead(startedAt time.Time) {
	t.lastListRead = startedAt
	if !startedAt.Before(t.standstill.unreadSince) {
		t.standstill.unreadSince = time.Time{}
	}
}

// isCold reports whether an endpoint is or may be cold.
func (t *Table) isCold(now time.Time, s *endpointState) bool {
	return s.isCold(now) || now.Before(t.unreadWarmupEnd(s)) || now.Before(t.endingUntil(s)) || t.standstill.isUnread(now)
}

// unreadWarmupEnd returns when an endpoint is warm that may have started again in its listed
// warm-up, which the list that was read last can't tell. It is the zero time if that list is
// from about the end of the warm-up. Few requests go to a cold endpoint, so its end may not
// be found.
func (t *Table) unreadWarmupEnd(s *endpointState) time.Time {
	if s.ColdRemaining <= 0 || !t.mayRestartUnread(s, s.warmAt) {
		return time.Time{}
	}
	return s.warmAt.Add(t.specs[s.Service].Warmup)
}

// coldUntil returns when a cold endpoint no longer counts as cold, unless it or the
// endpoint list says something else before.
func (t *Table) coldUntil(now time.Time, s *endpointState) time.Time {
	until := s.coldUntil(now)
	if warmAt := t.unreadWarmupEnd(s); warmAt.After(until) && !now.Before(s.warmAt) {
		until = warmAt
	}
	if endingUntil := t.endingUntil(s); endingUntil.After(until) {
		until = endingUntil
	}
	if readAt := t.standstill.unreadSince.Add(maxUnread); t.standstill.isUnread(now) && readAt.After(until) {
		return readAt
	}
	return until
}
