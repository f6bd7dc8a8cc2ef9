package upstream

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// subscribe follows the facts of peers.
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

// hearPeer takes note of a sign of life of another instance. It reports false
// for this instance's own facts.
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

// peerAge is how long a sign of life of another instance holds: six heartbeats.
const maxPeerAge = 3 * time.Second

// hasPeers reports whether another instance was heard lately.
func (p *Pool) hasPeers(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, heard := range p.peerReceivedAt {
		if now.Sub(heard) <= maxPeerAge {
			return true
		}
		delete(p.peerReceivedAt, id)
	}
	return false
}

// hearInFlight takes note of a peer's requests in flight.
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

// hearDraining takes note that a peer says an endpoint drains.
func (p *Pool) handleDraining(fact savorystep.ReceivedFact) {
	if !p.recordPeerFact(fact) {
		return
	}
	p.withEndpoint(fact.Subject, func(_ *group, e *endpoint) {
		e.health.RecordPeerDraining(fact.ReceivedAt)
	})
}

// hearHealth takes note of what a peer found about an endpoint.
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

// onEndpoint calls f under the lock of an endpoint's group if the endpoint is
// known.
func (p *Pool) withEndpoint(subject string, f func(*group, *endpoint)) {
	id := savorystep.EndpointID(subject)
	g := p.groupOf(id)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.find(id); e != nil {
		f(g, e)
	}
}
