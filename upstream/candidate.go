package upstream

import "savorystep"

// A Candidate is an endpoint as the choice sees it.
type Candidate struct {
	// Slots is how many requests the endpoint takes at once; 0 if it must not
	// be used.
	Slots savorystep.Slots
	// OwnInFlight counts this instance's requests in flight, exactly.
	OwnInFlight savorystep.Slots
	// PeersInFlight is the expected number of the peers' requests in flight.
	PeersInFlight float64
	// SameZone is true if it lies in this instance's zone.
	SameZone bool
	// ServiceTimeNanos orders endpoints that are otherwise equal, less first. It is the
	// usual time of a request in nanoseconds.
	ServiceTimeNanos int64
}

// leastFree is the least expected number of free slots of an endpoint that gets
// a request. Averages approach a lasting count without reaching it.
const minFreeSlots = 0.1

// free returns the expected number of free slots, 0 if a request must not be
// sent. The peers' requests are known only as an expectation, so that another
// entry's request may meet this one's in the last slot; the endpoint then
// queues or sheds one of them.
func (c *Candidate) freeSlots() float64 {
	if c.OwnInFlight >= c.Slots {
		return 0
	}
	if free := float64(c.Slots-c.OwnInFlight) - c.PeersInFlight; free >= minFreeSlots {
		return free
	}
	return 0
}

// Choose returns the index of the endpoint that gets the next request, or -1
// if none is expected to have a free slot. Endpoints in the own zone come
// first; among them the one with the most free slots; among equals the cheaper
// of two random ones.
func Choose(candidates []Candidate, random uint64) int {
	most, near, ties := 0.0, false, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		free := c.freeSlots()
		switch {
		case free == 0 || near && !c.SameZone:
		case ties == 0, c.SameZone && !near, free > most:
			near, most, ties = c.SameZone, free, 1
		case free == most:
			ties++
		}
	}
	if ties == 0 {
		return -1
	}
	// The two halves of the random number choose two of the equals.
	first, second := (random>>32)%ties, (random&0xffffffff)%ties
	a, b := -1, -1
	at := uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.SameZone != near || c.freeSlots() != most {
			continue
		}
		if at == first {
			a = i
		}
		if at == second {
			b = i
		}
		at++
	}
	if candidates[b].ServiceTimeNanos < candidates[a].ServiceTimeNanos {
		return b
	}
	return a
}
