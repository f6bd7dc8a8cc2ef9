package upstream

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// subscribe registers the handlers for the facts of peers.
func (p *Pool) subscribe() {
	facts := p.config.Facts
	if facts == nil {
		return
	}
	facts.Subscribe(savorystep.FactInFlight, p.handleInFlight)
	facts.Subscribe(savorystep.FactDraining, p.handleDraining)
	facts.Subscribe(savorystep.FactHealth, p.handleHealth)
	facts.Subscribe(savorystep.FactStatus, func(fact savorystep.ReceivedFact) { p.recordPeerFact(fact) })
}

// recordPeerFact records that a fact of another instance was received. It
// returns false for this instance's own facts.
func (p *Pool) recordPeerFact(fact savorystep.ReceivedFact) bool {
	if fact.Instance == p.config.Self.ID {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerReceivedAt[fact.Instance] = fact.ReceivedAt
	p.lastPeerFactAt = fact.ReceivedAt
	return true
}

// maxPeerAge is how long an instance counts as running after its last fact; six
// heartbeats.
const maxPeerAge = 3 * time.Second

// hasPeers reports whether a fact of another instance was received within
// maxPeerAge.
func (p *Pool) hasPeers(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, receivedAt := range p.peerReceivedAt {
		if now.Sub(receivedAt) <= maxPeerAge {
			return true
		}
		delete(p.peerReceivedAt, id)
	}
	return false
}

// handleInFlight records a peer's number of requests in flight to an endpoint.
func (p *Pool) handleInFlight(fact savorystep.ReceivedFact) {
	var body savorystep.InFlightFact
	if !p.recordPeerFact(fact) || cbor.Unmarshal(fact.Body, &body) != nil {
		return
	}
	p.withEndpoint(fact.Subject, func(g *group, e *endpoint) {
		e.recordPeerCount(fact.Instance, body.Count, fact.ReceivedAt, p.limits.MinCountInterval)
		e.updatePeersInFlight(p.clock.Now(), p.limits.MaxCountAge)
		g.dispatch(p.clock.Now())
	})
}

// handleDraining records a peer's report that an endpoint is draining, unless
// it is about an earlier incarnation.
func (p *Pool) handleDraining(fact savorystep.ReceivedFact) {
	var body savorystep.DrainingFact
	if !p.recordPeerFact(fact) || len(fact.Body) > 0 && cbor.Unmarshal(fact.Body, &body) != nil {
		return
	}
	p.withEndpoint(fact.Subject, func(_ *group, e *endpoint) {
		if body.StartedAtMillis == 0 || body.StartedAtMillis >= e.info.StartedAtMillis {
			e.health.RecordPeerDraining(fact.ReceivedAt)
		}
	})
}

// handleHealth records whether a peer has ejected an endpoint.
func (p *Pool) handleHealth(fact savorystep.ReceivedFact) {
	var body savorystep.HealthFact
	if !p.recordPeerFact(fact) || cbor.Unmarshal(fact.Body, &body) != nil {
		return
	}
	p.withEndpoint(fact.Subject, func(_ *group, e *endpoint) {
		if body.Ejected {
			e.ejectedByPeer[fact.Instance] = fact.ReceivedAt
		} else {
			delete(e.ejectedByPeer, fact.Instance)
		}
	})
}

// withEndpoint calls f with the lock of the endpoint's group held, if the
// endpoint is known.
func (p *Pool) withEndpoint(subject string, f func(*group, *endpoint)) {
	id := savorystep.EndpointID(subject)
	g := p.groupOf(id)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.findEndpoint(id); e != nil {
		f(g, e)
	}
}
