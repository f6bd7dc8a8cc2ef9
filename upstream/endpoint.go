package upstream

import (
	"math"
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
	// expected is the expected number of the peers' requests in flight.
	expected float64
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
	// pageAsked is when the load page was last asked for, reading is true while
	// it is read.
	pageAsked time.Time
	reading   bool
	// claimed is true while this instance tells peers that it drains.
	claimed   bool
	claimedAt time.Time
	// told is the ejection state last published.
	told bool
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
	e.health.SetListedState(info.State)
	return e
}

// hear takes note of a peer's count.
func (e *endpoint) hear(id savorystep.InstanceID, count savorystep.Slots, heard time.Time, least time.Duration) {
	e.peers[id] = e.peers[id].hear(count, heard, least)
}

// expectPeers renews the expected number of the peers' requests.
func (e *endpoint) expectPeers(now time.Time, age time.Duration) {
	usual := e.usual
	if usual == 0 {
		usual = firstUsual
	}
	e.expected = 0
	for id, peer := range e.peers {
		if peer.gone(now, age) {
			delete(e.peers, id)
			continue
		}
		e.expected += peer.at(now, usual, age)
	}
	// Averages never fall to 0 by themselves; a hundredth of a request does
	// not matter to the choice.
	if e.expected < 0.01 {
		e.expected = 0
	}
}

// counted returns the slots that this instance and its peers use.
func (e *endpoint) counted() savorystep.Slots {
	return e.own + savorystep.Slots(math.Round(e.expected))
}

// usedSlots returns the slots in use by all instances.
func (e *endpoint) usedSlots(now time.Time) savorystep.Slots {
	return min(e.info.Slots, e.counted()+e.health.Undercount(now, e.info.Slots))
}

// candidate returns the endpoint as the choice sees it.
func (e *endpoint) candidate(now time.Time, near bool) Candidate {
	c := Candidate{
		Slots: e.health.Capacity(now, e.info.Slots), OwnInFlight: e.own, PeersInFlight: e.expected, SameZone: near, ServiceTimeNanos: int64(e.usual),
	}
	// The drift of pages leaves one slot, so that it never closes an endpoint.
	if room := c.Slots - c.OwnInFlight - 1; room > 0 {
		c.Slots -= min(room, e.health.Undercount(now, e.info.Slots))
	}
	return c
}
