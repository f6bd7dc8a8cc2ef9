package upstream

import (
	"time"

	"savorystep"
)

// suspectAfter is how long most endpoints of a region must look dead to this
// instance only before it suspects its own network. Peers that see the same
// need time to report it: detection differs by up to OldConnProgressTimeout
// between instances, and gossip takes a few 100 ms.
const suspectAfter = time.Second

// recordFailure records a failure of an endpoint and reports whether the
// endpoint was ejected. It is not ejected if more than half of the region's
// endpoints would then look dead to this instance but not to its peers. The
// caller holds mu.
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
	onlyHere := hasPeers && live >= 2 && 2*dead > live && !g.peersAgree(now, live)
	return e.health.RecordFailure(now, !onlyHere)
}

// peersAgree reports whether some peer has ejected at least half of the live
// endpoints. The caller holds mu.
func (g *group) peersAgree(now time.Time, live int) bool {
	counts := make(map[savorystep.InstanceID]int)
	for _, e := range g.endpoints {
		for id, receivedAt := range e.ejectedByPeer {
			if now.Sub(receivedAt) > 2*g.limits.Health.MaxEjectionTime {
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

// suspectsOwnNetwork reports whether most endpoints have looked dead to this
// instance only for at least suspectAfter. The caller holds mu.
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
