package endpoint

import (
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

const (
	// instanceTTL is how long an instance counts after it was last seen. For that
	// time, an instance that is partitioned from the others uses only its own
	// share of each limit. It exceeds the usual network partitions, which last up
	// to 12 s.
	instanceTTL = 30 * time.Second
	// startupHoldoff is how long an instance uses no share of a limit after its start.
	// It does not know the other instances yet, which may all have started at the
	// same time.
	startupHoldoff = 2 * time.Second
	// startupPeriod is how long an instance divides limits among at least
	// minInstances after its start. It learns of nearly all others within 2 s.
	startupPeriod = 5 * time.Second
	// minInstances is the least number of instances among which limits are divided
	// while an instance may not know the others yet. The retry budget is always
	// divided among at least this number.
	minInstances = 12
)

// SetInstances sets the instances that are known to run, this one included.
// Instances that are missing still count for instanceTTL.
func (t *Table) SetInstances(now time.Time, instances []savorystep.InstanceID) {
	for _, id := range instances {
		if _, ok := t.instanceSeenAt[id]; !ok {
			t.instancesVersion++
		}
		t.instanceSeenAt[id] = now
	}
	for id, seenAt := range t.instanceSeenAt {
		if now.Sub(seenAt) >= instanceTTL {
			delete(t.instanceSeenAt, id)
			t.instancesVersion++
		}
	}
}

// instanceShare returns the share of a total for an endpoint that this instance may
// use. The shares of instances that all know each other add up to the total. The
// remainder of the division goes to the instances that rank first for the endpoint,
// which differ from endpoint to endpoint.
func (t *Table) instanceShare(now time.Time, total int, s *endpointState) int {
	if now.Sub(t.startedAt) < startupHoldoff {
		return 0
	}
	instances := max(1, len(t.instanceSeenAt))
	if now.Sub(t.startedAt) < startupPeriod {
		instances = max(instances, minInstances)
	}
	share := total / instances
	if t.ownRank(s) < total%instances {
		share++
	}
	return share
}

// ownRank returns the position of this instance in the rendezvous ranking of the
// instances for an endpoint.
func (t *Table) ownRank(s *endpointState) int {
	if s.ownRankVersion == t.instancesVersion {
		return s.ownRank
	}
	own := mixBits(s.idHash ^ xxh3.HashString(string(t.config.Self)))
	s.ownRank, s.ownRankVersion = 0, t.instancesVersion
	for id := range t.instanceSeenAt {
		if id != t.config.Self && mixBits(s.idHash^xxh3.HashString(string(id))) > own {
			s.ownRank++
		}
	}
	return s.ownRank
}
