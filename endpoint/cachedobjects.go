package endpoint

import "time"

const (
	// cachedObjectTTL is how long an endpoint is assumed to have an object cached
	// after it responded to a request for it from this instance. At ten requests a
	// second for two dozen objects, an endpoint gets a request for each of them
	// within a few seconds.
	cachedObjectTTL = 20 * time.Second
	// maxCachedObjects limits the objects recorded for an endpoint.
	maxCachedObjects = 512
)

// cachedObjects maps the affinity keys of objects that an endpoint is assumed to
// have cached to the times of its last responses for them.
type cachedObjects map[uint64]time.Time

// has reports whether the endpoint is assumed to have an object cached.
func (c cachedObjects) has(now time.Time, affinityKey uint64) bool {
	at, ok := c[affinityKey]
	return ok && now.Sub(at) < cachedObjectTTL
}

// add records a response for an object. If the map is full after expired objects
// were evicted, the object is not recorded.
func (c cachedObjects) add(now time.Time, affinityKey uint64) {
	if len(c) >= maxCachedObjects {
		for other, at := range c {
			if now.Sub(at) >= cachedObjectTTL {
				delete(c, other)
			}
		}
	}
	if len(c) < maxCachedObjects {
		c[affinityKey] = now
	}
}
