package upstream

import (
	"math"
	"time"

	"savorystep"
)

// An endpoint is the state of one endpoint of an upstream service at this
// instance. It is protected by its group's lock.
type endpoint struct {
	info   savorystep.Endpoint
	health *Health
	conns  *connSet
	// ownInFlight counts this instance's requests in flight. peerCounts holds
	// the estimates of each peer's requests in flight.
	ownInFlight savorystep.Slots
	peerCounts  map[savorystep.InstanceID]peerCount
	// peersInFlight is the estimated number of all peers' requests in flight.
	peersInFlight float64
	// ejectedByPeer holds when each peer reported that it ejected the endpoint.
	ejectedByPeer map[savorystep.InstanceID]time.Time
	attempts      map[*attempt]struct{}
	// serviceTime is the moving average of the time for which a request holds a
	// slot, 0 before the first request.
	serviceTime time.Duration
	lastUsed    time.Time
	// verifiedConnOpened is when the newest connection that has returned a
	// response was opened, verifiedAt when that response arrived.
	verifiedConnOpened int64
	verifiedAt         int64
	// probedSince is when the first read of the load page over a new connection began
	// since the endpoint last returned a response, 0 if there was none. resumedAt is when
	// the endpoint last returned a response during such a read, and resumedLate is true if
	// the read had then waited for lateResponse.
	probedSince, resumedAt int64
	resumedLate            bool
	// publishedInFlight is the last published number of requests in flight,
	// publishedAt when it was published.
	publishedInFlight savorystep.Slots
	publishedAt       time.Time
	// loadPageRequestedAt is when the last read of the load page was started;
	// for a new endpoint it is set so that first reads are spread over an
	// interval. readingLoadPage is true during a read.
	loadPageRequestedAt time.Time
	readingLoadPage     bool
	// drainPublished is true while this instance reports to its peers that the
	// endpoint drains.
	drainPublished   bool
	drainPublishedAt time.Time
	// publishedEjected is the last published value of HealthFact.Ejected, which
	// is also true while an ejection is withheld.
	publishedEjected bool
}

// newEndpoint returns the state of an endpoint that has had no request.
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

// isSameProcess reports whether an entry is of the process that the state
// belongs to, and not of a later one with the same ID.
func (e *endpoint) isSameProcess(info savorystep.Endpoint) bool {
	return e.info.Address == info.Address && e.info.StartedAtMillis == info.StartedAtMillis
}

// recordPeerCount records a peer's reported number of requests in flight.
func (e *endpoint) recordPeerCount(id savorystep.InstanceID, count savorystep.Slots, receivedAt time.Time, minInterval time.Duration) {
	e.peerCounts[id] = e.peerCounts[id].withReport(count, receivedAt, minInterval)
}

// updatePeersInFlight recomputes the estimate of the peers' requests in flight
// and deletes counts that have expired.
func (e *endpoint) updatePeersInFlight(now time.Time, maxAge time.Duration) {
	serviceTime := e.serviceTime
	if serviceTime == 0 {
		serviceTime = initialServiceTime
	}
	e.peersInFlight = 0
	for id, peer := range e.peerCounts {
		if peer.expired(now, maxAge) {
			delete(e.peerCounts, id)
			continue
		}
		e.peersInFlight += peer.expectedAt(now, serviceTime, maxAge)
	}
	// A moving average never reaches 0; a hundredth of a request makes no
	// difference to the choice.
	if e.peersInFlight < 0.01 {
		e.peersInFlight = 0
	}
}

// totalInFlight returns the requests in flight of this instance and its peers.
func (e *endpoint) totalInFlight() savorystep.Slots {
	return e.ownInFlight + savorystep.Slots(math.Round(e.peersInFlight))
}

// usedSlots returns the slots in use by all instances, corrected by the load
// page.
func (e *endpoint) usedSlots(now time.Time) savorystep.Slots {
	return min(e.info.Slots, e.totalInFlight()+e.health.Undercount(now, e.info.Slots))
}

// candidate returns the endpoint as a candidate for Choose.
func (e *endpoint) candidate(now time.Time, sameZone bool) Candidate {
	c := Candidate{
		Slots: e.health.Capacity(now, e.info.Slots), OwnInFlight: e.ownInFlight, PeersInFlight: e.peersInFlight, SameZone: sameZone, ServiceTimeNanos: int64(e.serviceTime),
	}
	// The correction by the load page leaves one slot, so that a load page
	// alone cannot stop traffic to an endpoint.
	if spare := c.Slots - c.OwnInFlight - 1; spare > 0 {
		c.Slots -= min(spare, e.health.Undercount(now, e.info.Slots))
	}
	return c
}
