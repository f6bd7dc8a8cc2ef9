package upstream

import (
	"sync"
	"time"

	"savorystep"
)

const (
	// answeredTime is how long an answer speaks for a fingerprint, at least.
	answeredRotation = time.Minute
	// maxAnswered bounds the fingerprints that are remembered, twice.
	maxAnsweredFingerprints = 8192
)

// An answeredLately remembers the fingerprints that were answered in the last
// one to two minutes.
type recentlyAnswered struct {
	mu        sync.Mutex
	current   map[savorystep.Fingerprint]struct{}
	previous  map[savorystep.Fingerprint]struct{}
	rotatedAt time.Time
}

// newAnsweredLately returns an empty memory.
func newRecentlyAnswered() *recentlyAnswered {
	return &recentlyAnswered{current: make(map[savorystep.Fingerprint]struct{})}
}

// add remembers a fingerprint.
func (a *recentlyAnswered) add(key savorystep.Fingerprint, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	a.current[key] = struct{}{}
}

// has reports whether a fingerprint was answered lately.
func (a *recentlyAnswered) has(key savorystep.Fingerprint, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	if _, ok := a.current[key]; ok {
		return true
	}
	_, ok := a.previous[key]
	return ok
}

// turn forgets the older half when it is old enough or the memory is full. The
// caller holds mu.
func (a *recentlyAnswered) rotate(now time.Time) {
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
