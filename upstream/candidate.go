package upstream

import "savorystep"

// A Candidate is an endpoint as the choice sees it.
type Candidate struct {
	// Free is its slots less those in use by this instance and its peers.
	Free savorystep.Slots
	// Near is true if it lies in this instance's zone.
	Near bool
	// Cost orders endpoints with equally many free slots, less first. It is
	// the usual time of a request in nanoseconds.
	Cost int64
}

// Choose returns the index of the endpoint that gets the next request, or -1
// if none has a free slot. Endpoints in the own zone come first; among them the
// one with the most free slots; among equals the cheaper of two random ones.
func Choose(candidates []Candidate, random uint64) int {
	var most savorystep.Slots
	near := false
	ties := uint64(0)
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Free <= 0 || near && !c.Near:
		case c.Near && !near, c.Free > most:
			near, most, ties = c.Near, c.Free, 1
		case c.Free == most:
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
		if c.Free != most || c.Near != near {
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
	if candidates[b].Cost < candidates[a].Cost {
		return b
	}
	return a
}
