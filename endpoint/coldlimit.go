package endpoint

import (
	"slices"
	"time"
)

const (
	// coldWindow is the second in which requests at a cold endpoint are
	// counted and the delays of the ways from several instances.
	coldWindow = 1300 * time.Millisecond
	// coldShare is the part of the bound that is used. The rest covers
	// instances that do not know of each other yet.
	coldShare = 0.75
	// coldHoldoff is how long an instance that started sends nothing to cold
	// endpoints. It does not know the other instances yet, which may all have
	// started at the same time.
	coldHoldoff = 2 * time.Second
)

// mayWarm reports whether this instance may send a request to a cold endpoint
// now. The bound is a sum over all instances, so each uses its part.
func (t *Table) mayWarm(now time.Time, s *server) bool {
	if now.Sub(t.started) < coldHoldoff {
		return false
	}
	bound := t.specs[s.Service].ColdRate*t.config.ColdFactor + t.config.ColdSlack
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.coldSends) < t.share(now, int(bound*coldShare), s.hash)
}
