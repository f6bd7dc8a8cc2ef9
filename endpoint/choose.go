package endpoint

import (
	"cmp"
	"slices"
	"time"

	"savorystep"
)

// Choose returns an endpoint for a request and counts the request there until
// End. It returns false if no endpoint may get the request now. If that is
// because all would answer too late, the choice says when the soonest would.
func (t *Table) Choose(now time.Time, query Query) (Choice, bool) {
	choice, s := t.choose(now, query)
	if s == nil {
		return choice, false
	}
	choice.Endpoint, choice.Load = s.Endpoint, s.load(now)
	choice.key, choice.began = query.AffinityKey, now
	s.inFlight++
	if s.isCold(now) {
		s.coldSends = append(s.coldSends, now)
	}
	return choice, true
}

// choose picks the endpoint that is expected to answer first, the time for the
// way of large bodies included. Each order of endpoints proposes one.
func (t *Table) choose(now time.Time, query Query) (Choice, *server) {
	p := t.pace(query.Service)
	var best, late Choice
	var chosen *server
	for _, order := range t.orders(now, query) {
		choice, s, tooLate := order.choose(now, query, p)
		late = late.sooner(tooLate)
		if s != nil && (chosen == nil || choice.cost(&query, s) < best.cost(&query, chosen)) {
			best, chosen = choice, s
		}
	}
	if chosen != nil {
		return best, chosen
	}
	if choice, s := t.chooseCold(now, query, p); s != nil {
		return choice, s
	}
	return late, nil
}

// cost returns the time to the answer from a server, the way there included.
func (c Choice) cost(query *Query, s *server) time.Duration {
	return c.ExpectedLatency + query.crossing(s.Place)
}

// chooseCold picks the first cold endpoint that may get a request now.
func (t *Table) chooseCold(now time.Time, query Query, p *pace) (Choice, *server) {
	var cold []ranked
	for _, s := range t.byService[query.Service] {
		if t.mayGet(now, s, &query) && !s.isHeld(now) && s.isCold(now) {
			cold = append(cold, newRanked(s, &query))
		}
	}
	slices.SortFunc(cold, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(query.crossing(a.server.Place), query.crossing(b.server.Place)), cmp.Compare(b.score, a.score))
	})
	for _, r := range cold {
		if t.mayWarm(now, r.server) {
			choice := r.server.estimate(now, query.AffinityKey, p, false)
			choice.Reason = ReasonCold
			return choice, r.server
		}
	}
	return Choice{}, nil
}

// reasonOf returns the reason for an endpoint by its place in the order and
// among the candidates.
func reasonOf(place, candidates int) Reason {
	switch {
	case place == 0:
		return ReasonPrimary
	case candidates > homes:
		return ReasonNonAffinity
	default:
		return ReasonOverflow
	}
}

// estimate returns a choice with the time to the answer: the wait for a slot
// and the work. The owner is likely to keep the object for other instances.
func (s *server) estimate(now time.Time, key uint64, p *pace, owner bool) Choice {
	kept := s.kept.has(now, key)
	work := p.fetched
	switch {
	case kept:
		work = p.kept
	case owner:
		work = (p.kept + p.fetched) / 2
	}
	waiting := max(0, s.load(now)+1-float64(s.Slots)) / float64(s.Slots)
	wait := time.Duration(waiting * float64(p.mean()))
	return Choice{kept: kept, measured: p.measured, ExpectedLatency: time.Duration(float64(wait+work) * s.slowness.factor(now))}
}

const (
	// homes is how many endpoints keep an object. Endpoints of today's sizes
	// keep 17 to 36 objects and each service has 5 to 9 for each endpoint. With
	// three homes and some endpoints away, they were asked for more than they
	// keep.
	homes = 2
	// standIns is how many further endpoints stand in for homes that are away.
	// With a third of a service away, all homes and stand-ins of one object in
	// 240 are.
	standIns = 3
	// maxQueue is how many requests for each slot an endpoint gets at most.
	// Beyond it a request waits longer than it takes to run.
	maxQueue = 2.0
	// mostlyFree bounds the load of an endpoint that gets a request for an
	// object of others.
	mostlyFree = 0.5
)

// mayGet reports whether an endpoint may get a request at all.
func (t *Table) mayGet(now time.Time, s *server, query *Query) bool {
	if s.State != savorystep.StateLive || s.hasLapsed(now) || t.evacuated[s.Place.Zone] || slices.Contains(query.AttemptedEndpoints, s.ID) {
		return false
	}
	return len(query.AllowedRegions) == 0 || slices.Contains(query.AllowedRegions, s.Place.Region)
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
