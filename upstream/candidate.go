package upstream

import "savorystep"

// A Candidate is the state of an endpoint that Choose compares.
type Candidate struct {
	// Slots is the number of requests that the endpoint runs concurrently, or 0
	// if it must not be used.
	Slots savorystep.Slots
	// OwnInFlight is the exact number of this instance's requests in flight.
	OwnInFlight savorystep.Slots
	// PeersInFlight is the estimated number of the peers' requests in flight.
	PeersInFlight float64
	// SameZone is true if the endpoint is in this instance's availability zone.
	SameZone bool
	// ServiceTimeNanos is the average service time of a request in nanoseconds.
	// It breaks ties, the lower one first.
	ServiceTimeNanos int64
}

// minFreeSlots is the estimated number of free slots below which an endpoint
// gets no request. It is above 0 because a moving average approaches a constant
// count without reaching it.
const minFreeSlots = 0.1

// freeSlots returns the estimated number of free slots, or 0 if the endpoint
// must not get a request. The peers' requests are only an estimate, so two
// instances may send to the last free slot at the same time; the endpoint then
// queues or sheds one of the requests.
func (c *Candidate) freeSlots() float64 {
	if c.OwnInFlight >= c.Slots {
		return 0
	}
	if free := float64(c.Slots-c.OwnInFlight) - c.PeersInFlight; free >= minFreeSlots {
		return free
	}
	return 0
}

// Choose returns the index of the endpoint that gets the next request, or -1 if
// none is estimated to have a free slot. It prefers endpoints in the same
// availability zone, then those with the most free slots. Among equal endpoints
// it picks two at random and returns the one with the lower service time.
func Choose(candidates []Candidate, random uint64) int {
	maxFree, sameZone, ties := 0.0, false, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		free := c.freeSlots()
		switch {
		case free == 0 || sameZone && !c.SameZone:
		case ties == 0, c.SameZone && !sameZone, free > maxFree:
			sameZone, maxFree, ties = c.SameZone, free, 1
		case free == maxFree:
			ties++
		}
	}
	if ties == 0 {
		return -1
	}
	// Each half of the random number picks one of the equal endpoints.
	firstRank, secondRank := (random>>32)%ties, (random&0xffffffff)%ties
	a, b := -1, -1
	rank := uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.SameZone != sameZone || c.freeSlots() != maxFree {
			continue
		}
		if rank == firstRank {
			a = i
		}
		if rank == secondRank {
			b = i
		}
		rank++
	}
	if candidates[b].ServiceTimeNanos < candidates[a].ServiceTimeNanos {
		return b
	}
	return a
}
