package upstream

import (
	"sync"
	"time"

	"savorystep"
)

const (
	// answeredRotation is the age at which the current set becomes the previous
	// one, so a response to a fingerprint is remembered for one to two times as
	// long, or shorter if a set becomes full.
	answeredRotation = time.Minute
	// maxAnsweredFingerprints bounds the fingerprints in each of the two sets.
	maxAnsweredFingerprints = 8192
)

// A RecentlyAnswered holds the fingerprints of requests that got a response in
// the last one to two minutes. It is safe for concurrent use.
type RecentlyAnswered struct {
	mu        sync.Mutex
	current   map[savorystep.Fingerprint]struct{}
	previous  map[savorystep.Fingerprint]struct{}
	rotatedAt time.Time
}

// NewRecentlyAnswered returns an empty set.
func NewRecentlyAnswered() *RecentlyAnswered {
	return &RecentlyAnswered{current: make(map[savorystep.Fingerprint]struct{})}
}

// Add records a response to a fingerprint.
func (a *RecentlyAnswered) Add(key savorystep.Fingerprint, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	a.current[key] = struct{}{}
}

// Has reports whether a fingerprint recently got a response.
func (a *RecentlyAnswered) Has(key savorystep.Fingerprint, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	if _, ok := a.current[key]; ok {
		return true
	}
	_, ok := a.previous[key]
	return ok
}

// rotate replaces the previous set by the current one when the current one is
// answeredRotation old or full. If it is twice as old, both sets are discarded.
// The caller holds mu.
func (a *RecentlyAnswered) rotate(now time.Time) {
	age := now.Sub(a.rotatedAt)
	if age < answeredRotation && len(a.current) < maxAnsweredFingerprints {
		return
	}
	a.previous = a.current
	if age >= 2*answeredRotation {
		a.previous = nil
	}
	a.current = make(map[savorystep.Fingerprint]struct{})
	a.rotatedAt = now
}
