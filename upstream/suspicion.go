package upstream

import (
	"time"

	"savorystep"
)

// suspectAfter is how long most endpoints of a region must look dead to this
// instance only before it reports itself as unfit. Peers that see the same
// need a moment to say so: detection differs by up to a progress timeout of
// Proven, and gossip takes a few 100 ms.
const suspectAfter = time.Second

// fail takes note of a failure of an endpoint and reports whether it was
// ejected. An endpoint is not ejected when more than half of the region would
// then look dead to this instance only. The caller holds mu.
func (g *group) recordFailure(e *endpoint, now time.Time, hasPeers bool) bool {
	dead, live := 1, 0
	for _, other := range g.endpoints {
		if other.info.State != savorystep.StateLive {
			continue
		}
		live++
		if other != e && (other.health.Ejected(now) || other.health.consecutiveFailures >= g.limits.Health.ConsecutiveFailures) {
			dead++
		}
	}
	only := hasPeers && live >= 2 && 2*dead > live && !g.peersAgree(now, live)
	return e.health.RecordFailure(now, !only)
}

// peersAgree reports whether some peer ejected at least half of the live
// endpoints too. The caller holds mu.
func (g *group) peersAgree(now time.Time, live int) bool {
	counts := make(map[savorystep.InstanceID]int)
	for _, e := range g.endpoints {
		for id, heard := range e.ejectedByPeer {
			if now.Sub(heard) > 2*g.limits.Health.MaxEjectionTime {
				delete(e.ejectedByPeer, id)
				continue
			}
			counts[id]++
			if 2*counts[id] >= live {
				return true
			}
		}
	}
	return false
}

// suspects reports whether most endpoints have looked dead to this instance
// only for long enough. The caller holds mu.
func (g *group) suspectsOwnNetwork(now time.Time, hasPeers bool) bool {
	live := 0
	for _, e := range g.endpoints {
		if e.info.State == savorystep.StateLive {
			live++
		}
	}
	if !hasPeers || !g.assess(now).MostEndpointsDead || g.peersAgree(now, live) {
		g.suspectSince = time.Time{}
		return false
	}
	if g.suspectSince.IsZero() {
		g.suspectSince = now
	}
	return now.Sub(g.suspectSince) >= suspectAfter
}
