package upstream

import (
	"sync"
	"time"

	"savorystep"
)

const (
	// strikeAge is how long a strike counts.
	strikeAge = 10 * time.Minute
	// maxStruck bounds the fingerprints with strikes kept in memory. Each
	// strike stands for a dead upstream, so the bound is far above what
	// happens in strikeAge.
	maxStruck = 10_000
)

// strikes counts the deaths of upstreams by fingerprint. Each instance states
// its own count, so the strikes of a fingerprint are the sum over instances.
type strikes struct {
	mu    sync.Mutex
	byKey map[savorystep.Fingerprint]map[savorystep.InstanceID]strikeCount
}

// A strikeCount is the strikes that one instance counted.
type strikeCount struct {
	count int
	heard time.Time
}

func newStrikes() *strikes {
	return &strikes{byKey: make(map[savorystep.Fingerprint]map[savorystep.InstanceID]strikeCount)}
}

// total returns the strikes of a fingerprint.
func (s *strikes) total(key savorystep.Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(key, now)
}

// count returns the strikes of a fingerprint and forgets expired ones. The
// caller holds mu.
func (s *strikes) count(key savorystep.Fingerprint, now time.Time) int {
	sum := 0
	for id, strike := range s.byKey[key] {
		if now.Sub(strike.heard) > strikeAge {
			delete(s.byKey[key], id)
			continue
		}
		sum += strike.count
	}
	if sum == 0 {
		delete(s.byKey, key)
	}
	return sum
}

// add counts a strike of this instance and returns its own count.
func (s *strikes) add(key savorystep.Fingerprint, self savorystep.InstanceID, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(key, now)
	own := s.byKey[key][self].count + 1
	s.set(key, self, strikeCount{count: own, heard: now})
	return own
}

// hear takes note of the strikes of another instance.
func (s *strikes) hear(key savorystep.Fingerprint, id savorystep.InstanceID, count int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, id, strikeCount{count: count, heard: now})
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
	last := s.last(key)
	if last.IsZero() || !last.Before(at) {
		return false
	}
	delete(s.byKey, key)
	return true
}

// knownSince reports whether a strike of a fingerprint was heard at or after
// the given time.
func (s *strikes) knownSince(key savorystep.Fingerprint, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last(key)
	return !last.IsZero() && !last.Before(at)
}

// last returns when the last strike of a fingerprint was heard, or zero. The
// caller holds mu.
func (s *strikes) last(key savorystep.Fingerprint) time.Time {
	var last time.Time
	for _, strike := range s.byKey[key] {
		if strike.count > 0 && strike.heard.After(last) {
			last = strike.heard
		}
	}
	return last
}

// set replaces the count of one instance. The caller holds mu.
func (s *strikes) set(key savorystep.Fingerprint, id savorystep.InstanceID, strike strikeCount) {
	if s.byKey[key] == nil {
		s.makeRoom()
		s.byKey[key] = make(map[savorystep.InstanceID]strikeCount)
	}
	s.byKey[key][id] = strike
}

// makeRoom forgets the fingerprint with the oldest strike if the table is
// full. The caller holds mu.
func (s *strikes) makeRoom() {
	if len(s.byKey) < maxStruck {
		return
	}
	var oldest savorystep.Fingerprint
	var at time.Time
	for key, counts := range s.byKey {
		for _, strike := range counts {
			if at.IsZero() || strike.heard.Before(at) {
				oldest, at = key, strike.heard
			}
		}
	}
	delete(s.byKey, oldest)
}
