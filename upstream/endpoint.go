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
	conns  *connSet
	// own counts this instance's requests in flight, peers those that peers
	// reported.
	ownInFlight savorystep.Slots
	peerCounts  map[savorystep.InstanceID]peerCount
	// expected is the expected number of the peers' requests in flight.
	peersInFlight float64
	// ejectedBy holds the peers that ejected the endpoint.
	ejectedByPeer map[savorystep.InstanceID]time.Time
	attempts      map[*attempt]struct{}
	// usual is the moving average of the time that a request holds a slot.
	serviceTime time.Duration
	lastUsed    time.Time
	// proven is when the newest connection that answered was made, provenAt
	// when it answered.
	verifiedConnOpened int64
	verifiedAt         int64
	// published is the last published count in flight, publishedAt when.
	publishedInFlight savorystep.Slots
	publishedAt       time.Time
	// pageAsked is when the load page was last asked for, reading is true while
	// it is read.
	loadPageRequestedAt time.Time
	readingLoadPage     bool
	// claimed is true while this instance tells peers that it drains.
	drainPublished   bool
	drainPublishedAt time.Time
	// told is the ejection state last published.
	publishedEjected bool
}

// newEndpoint returns the state of an endpoint without requests.
func newEndpoint(info savorystep.Endpoint, base *timebase, limits *Limits) *endpoint {
	e := &endpoint{
		info:          info,
		health:        NewHealth(limits.Health),
		conns:         newConnSet(base, limits, info),
		peerCounts:    make(map[savorystep.InstanceID]peerCount),
		ejectedByPeer: make(map[savorystep.InstanceID]time.Time),
		attempts:      make(map[*attempt]struct{}),
	}
	e.health.SetListedState(info.State)
	return e
}

// hear takes note of a peer's count.
func (e *endpoint) recordPeerCount(id savorystep.InstanceID, count savorystep.Slots, heard time.Time, least time.Duration) {
	e.peerCounts[id] = e.peerCounts[id].withReport(count, heard, least)
}

// expectPeers renews the expected number of the peers' requests.
func (e *endpoint) updatePeersInFlight(now time.Time, age time.Duration) {
	usual := e.serviceTime
	if usual == 0 {
		usual = initialServiceTime
	}
	e.peersInFlight = 0
	for id, peer := range e.peerCounts {
		if peer.expired(now, age) {
			delete(e.peerCounts, id)
			continue
		}
		e.peersInFlight += peer.expectedAt(now, usual, age)
	}
	// Averages never fall to 0 by themselves; a hundredth of a request does
	// not matter to the choice.
	if e.peersInFlight < 0.01 {
		e.peersInFlight = 0
	}
}

// counted returns the slots that this instance and its peers use.
func (e *endpoint) totalInFlight() savorystep.Slots {
	return e.ownInFlight + savorystep.Slots(math.Round(e.peersInFlight))
}

// usedSlots returns the slots in use by all instances.
func (e *endpoint) usedSlots(now time.Time) savorystep.Slots {
	return min(e.info.Slots, e.totalInFlight()+e.health.Undercount(now, e.info.Slots))
}

// candidate returns the endpoint as the choice sees it.
func (e *endpoint) candidate(now time.Time, near bool) Candidate {
	c := Candidate{
		Slots: e.health.Capacity(now, e.info.Slots), OwnInFlight: e.ownInFlight, PeersInFlight: e.peersInFlight, SameZone: near, ServiceTimeNanos: int64(e.serviceTime),
	}
	// The drift of pages leaves one slot, so that it never closes an endpoint.
	if room := c.Slots - c.OwnInFlight - 1; room > 0 {
		c.Slots -= min(room, e.health.Undercount(now, e.info.Slots))
	}
	return c
}
