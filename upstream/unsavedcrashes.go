package upstream

import (
	"maps"
	"sync"

	"savorystep"
)

// unsavedCrashes are the fingerprints whose crashes are to be saved in the crash log, or
// removed from it.
type unsavedCrashes struct {
	mu sync.Mutex
	// changes has the number of the last change of each fingerprint.
	changes     map[savorystep.Fingerprint]uint64
	changeCount uint64
	// signal buffers a signal for the keeper.
	signal chan struct{}
}

func newUnsavedCrashes() *unsavedCrashes {
	return &unsavedCrashes{changes: make(map[savorystep.Fingerprint]uint64), signal: make(chan struct{}, 1)}
}

// mark adds a fingerprint.
func (u *unsavedCrashes) mark(key savorystep.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.changeCount++
	u.changes[key] = u.changeCount
	select {
	case u.signal <- struct{}{}:
	default: // The signal is not yet received.
	}
}

// list returns the fingerprints with the numbers of their last changes.
func (u *unsavedCrashes) list() map[savorystep.Fingerprint]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.changes)
}

// confirm removes the fingerprints that have not changed since they were listed.
func (u *unsavedCrashes) confirm(saved map[savorystep.Fingerprint]uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, number := range saved {
		if u.changes[key] == number {
			delete(u.changes, key)
		}
	}
}
