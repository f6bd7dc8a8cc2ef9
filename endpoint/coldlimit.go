package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
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
// now. The bound is a sum over all instances, so each endpoint is warmed by
// the few that come first in its order of instances, each at its part of the
// bound.
func (t *Table) mayWarm(now time.Time, s *server) bool {
	bound := t.specs[s.Service].ColdRate*t.config.ColdExcess + t.config.ColdSlack
	total := int(bound * coldShare)
	if total < 1 || now.Sub(t.started) < coldHoldoff {
		return false
	}
	rank := t.instanceRank(s)
	if rank >= total {
		return false
	}
	share := max(1, total/max(leastInstances, t.mostInstances))
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.coldSends) < share
}

// instanceRank returns the place of this instance in an endpoint's order of
// instances.
func (t *Table) instanceRank(s *server) int {
	own := mix(s.hash ^ xxh3.HashString(string(t.config.Self)))
	rank := 0
	for _, id := range t.instances {
		if cmp.Compare(mix(s.hash^xxh3.HashString(string(id))), own) > 0 {
			rank++
		}
	}
	return rank
}
