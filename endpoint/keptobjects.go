package endpoint

import "time"

const (
	// keptFor is how long an endpoint counts as keeping an object that it
	// handled for this instance. At ten requests a second for two dozen
	// objects it handles each of them within a few seconds.
	keptFor = 20 * time.Second
	// maxKept bounds the objects remembered for an endpoint.
	maxKept = 512
)

// keptObjects are the objects that an endpoint handled lately, by their keys.
type keptObjects map[uint64]time.Time

// has reports whether the endpoint keeps an object as far as is known.
func (k keptObjects) has(now time.Time, key uint64) bool {
	at, ok := k[key]
	return ok && now.Sub(at) < keptFor
}

// add notes that the endpoint handled an object.
func (k keptObjects) add(now time.Time, key uint64) {
	if len(k) >= maxKept {
		for other, at := range k {
			if now.Sub(at) >= keptFor {
				delete(k, other)
			}
		}
	}
	if len(k) < maxKept {
		k[key] = now
	}
}
