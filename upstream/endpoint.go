package upstream

import (
	"time"

	"savorystep"
)

// An endpoint is the state that this instance keeps about an endpoint of an
// upstream service. Its group's lock protects it.
type endpoint struct {
	info   savorystep.Endpoint
	health *Health
	link   *link
	// own counts this instance's requests in flight, peers those that peers
	// reported.
	own   savorystep.Slots
	peers map[savorystep.InstanceID]peerCount
	// peerSum is the sum of peers, of which the oldest was heard at peerOldest.
	peerSum    savorystep.Slots
	peerOldest time.Time
	// ejectedBy holds the peers that ejected the endpoint.
	ejectedBy map[savorystep.InstanceID]time.Time
	attempts  map[*attempt]struct{}
	// usual is the moving average of the time that a request holds a slot.
	usual time.Duration
	used  time.Time
	// proven is when the newest connection that answered was made, provenAt
	// when it answered.
	proven   int64
	provenAt int64
	// published is the last published count in flight, publishedAt when.
	published   savorystep.Slots
	publishedAt time.Time
	// pageDue is when the load page is read next, reading is true while it is.
	pageDue time.Time
	reading bool
	// claimed is true while this instance tells peers that it drains.
	claimed   bool
	claimedAt time.Time
	// told is the ejection state last published.
	told bool
}

// A peerCount is a peer's requests in flight.
type peerCount struct {
	count savorystep.Slots
	heard time.Time
}

// newEndpoint returns the state of an endpoint without requests.
func newEndpoint(info savorystep.Endpoint, base *timebase, limits *Limits) *endpoint {
	e := &endpoint{
		info:      info,
		health:    NewHealth(limits.Health),
		link:      newLink(base, limits, info),
		peers:     make(map[savorystep.InstanceID]peerCount),
		ejectedBy: make(map[savorystep.InstanceID]time.Time),
		attempts:  make(map[*attempt]struct{}),
	}
	e.health.List(info.State)
	return e
}

// hear replaces the count of a peer.
func (e *endpoint) hear(id savorystep.InstanceID, count savorystep.Slots, heard time.Time) {
	if count <= 0 {
		delete(e.peers, id)
	} else {
		e.peers[id] = peerCount{count: count, heard: heard}
	}
	e.sumPeers()
}

// sumPeers adds up the counts of peers.
func (e *endpoint) sumPeers() {
	e.peerSum, e.peerOldest = 0, time.Time{}
	for _, peer := range e.peers {
		e.peerSum += peer.count
		if e.peerOldest.IsZero() || peer.heard.Before(e.peerOldest) {
			e.peerOldest = peer.heard
		}
	}
}

// peerSlots returns the slots that peers use, as far as their counts hold.
func (e *endpoint) peerSlots(now time.Time, age time.Duration) savorystep.Slots {
	if len(e.peers) > 0 && now.Sub(e.peerOldest) > age {
		for id, peer := range e.peers {
			if now.Sub(peer.heard) > age {
				delete(e.peers, id)
			}
		}
		e.sumPeers()
	}
	return e.peerSum
}

// usedSlots returns the slots in use by all instances.
func (e *endpoint) usedSlots(now time.Time, age time.Duration) savorystep.Slots {
	counted := e.own + e.peerSlots(now, age)
	return min(e.info.Slots, counted+e.health.Drift(now, e.info.Slots))
}

// free returns how many requests the endpoint takes now.
func (e *endpoint) free(now time.Time, age time.Duration) savorystep.Slots {
	capacity := e.health.Capacity(now, e.info.Slots)
	counted := e.own + e.peerSlots(now, age)
	drift := e.health.Drift(now, e.info.Slots)
	// The drift of pages alone never closes an endpoint.
	if counted < capacity {
		drift = min(drift, capacity-counted-1)
	}
	return capacity - counted - drift
}
