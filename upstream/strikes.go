package upstream

import (
	"sync"
	"time"

	"savorystep"
)

const (
	// strikeAge is how long a strike counts.
	strikeTTL = 10 * time.Minute
	// maxStruck bounds the fingerprints with strikes kept in memory. Each
	// strike stands for a dead upstream, so the bound is far above what
	// happens in strikeAge.
	maxStrikeRecords = 10_000
)

// strikes holds the endpoints that died while they ran a fingerprint. An
// endpoint counts once, whichever instances had requests on it.
type strikes struct {
	mu    sync.Mutex
	byKey map[savorystep.Fingerprint]*strikeRecord
}

// A struck is what is known about one fingerprint.
type strikeRecord struct {
	// deaths holds when the death of each endpoint was heard.
	deaths map[savorystep.EndpointID]time.Time
	// own lists the endpoints that this instance states, the last one since
	// ownLast.
	ownDeaths    []savorystep.EndpointID
	lastOwnDeath time.Time
}

func newStrikes() *strikes {
	return &strikes{byKey: make(map[savorystep.Fingerprint]*strikeRecord)}
}

// total returns the strikes of a fingerprint.
func (s *strikes) total(key savorystep.Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countLocked(key, now)
}

// count returns the strikes of a fingerprint and forgets expired ones. The
// caller holds mu.
func (s *strikes) countLocked(key savorystep.Fingerprint, now time.Time) int {
	known := s.byKey[key]
	if known == nil {
		return 0
	}
	for endpoint, heard := range known.deaths {
		if now.Sub(heard) > strikeTTL {
			delete(known.deaths, endpoint)
		}
	}
	if len(known.deaths) == 0 {
		delete(s.byKey, key)
	}
	return len(known.deaths)
}

// add counts a death that this instance saw and returns all endpoints that it
// states.
func (s *strikes) addOwn(key savorystep.Fingerprint, endpoint savorystep.EndpointID, now time.Time) []savorystep.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countLocked(key, now)
	known := s.recordDeath(key, endpoint, now)
	known.ownDeaths = append(known.ownDeaths, endpoint)
	known.lastOwnDeath = now
	return append([]savorystep.EndpointID(nil), known.ownDeaths...)
}

// hear takes note of the deaths that another instance saw.
func (s *strikes) addFromPeer(key savorystep.Fingerprint, endpoints []savorystep.EndpointID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range endpoints {
		s.recordDeath(key, endpoint, now)
	}
}

// note keeps the time at which a death was first heard. The caller holds mu.
func (s *strikes) recordDeath(key savorystep.Fingerprint, endpoint savorystep.EndpointID, now time.Time) *strikeRecord {
	known := s.byKey[key]
	if known == nil {
		s.evictOldest()
		known = &strikeRecord{deaths: make(map[savorystep.EndpointID]time.Time)}
		s.byKey[key] = known
	}
	if _, ok := known.deaths[endpoint]; !ok {
		known.deaths[endpoint] = now
	}
	return known
}

// clear forgets the strikes of a fingerprint.
func (s *strikes) clear(key savorystep.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byKey, key)
}

// clearBefore forgets the strikes of a fingerprint if all are older than the
// given time. It reports whether there were any to forget.
func (s *strikes) clearBefore(key savorystep.Fingerprint, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastDeath(key)
	if last.IsZero() || !last.Before(at) {
		return false
	}
	delete(s.byKey, key)
	return true
}

// ownSince reports whether this instance saw a death with a fingerprint at or
// after the given time. Deaths that peers saw do not count here: they may be
// heard late, after the attempt that they should have kept back.
func (s *strikes) ownDeathSince(key savorystep.Fingerprint, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byKey[key]
	return known != nil && !known.lastOwnDeath.IsZero() && !known.lastOwnDeath.Before(at)
}

// last returns when the last strike of a fingerprint was heard, or zero. The
// caller holds mu.
func (s *strikes) lastDeath(key savorystep.Fingerprint) time.Time {
	var last time.Time
	known := s.byKey[key]
	if known == nil {
		return last
	}
	for _, heard := range known.deaths {
		if heard.After(last) {
			last = heard
		}
	}
	return last
}

// makeRoom forgets the fingerprint with the oldest strike if the table is
// full. The caller holds mu.
func (s *strikes) evictOldest() {
	if len(s.byKey) < maxStrikeRecords {
		return
	}
	var oldest savorystep.Fingerprint
	var at time.Time
	for key, known := range s.byKey {
		for _, heard := range known.deaths {
			if at.IsZero() || heard.Before(at) {
				oldest, at = key, heard
			}
		}
	}
	delete(s.byKey, oldest)
}
