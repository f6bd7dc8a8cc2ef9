package endpoint

import (
	"cmp"
	"slices"
	"time"
)

// Choose returns an endpoint for a request and counts the request as in flight
// there until Finish. It returns false if no endpoint can take the request now.
// If every endpoint that could take it would respond too late, ExpectedLatency of
// the returned choice is the lowest of their latencies.
func (t *Table) Choose(now time.Time, query Query) (Choice, bool) {
	choice, s := t.choose(now, query)
	if s == nil {
		return choice, false
	}
	choice.Endpoint, choice.Load = s.Endpoint, s.load(now)
	choice.affinityKey, choice.startedAt = query.AffinityKey, now
	s.inFlight++
	s.holdOff.countRequest()
	s.rateLimiter.countRequest(now)
	if s.rateLimiter.isLimited(now) {
		choice.IsRateLimited, choice.RateLimit = true, s.rateLimiter.statement.Rate
		choice.RecentRequests = s.rateLimiter.requests.sum(now)
	}
	if query.mayStayInRegion() {
		choice.overflow = t.overflow(query.Service).add(now, &query, s.Place.Region)
	}
	t.lastNumber++
	choice.number, choice.wasCold = t.lastNumber, t.isCold(now, s)
	s.recent.add(now, choice.number, choice.wasCold)
	return choice, true
}

// choose picks the best of the endpoints that the rankings propose: the one with
// the lowest expected latency, locality penalty included. Cold endpoints are
// picked only if the rankings propose none.
func (t *Table) choose(now time.Time, query Query) (Choice, *endpointState) {
	t.limitSpillover(now, &query)
	t.limitOverflow(now, &query)
	latency := t.latency(query.Service)
	var best, late Choice
	var chosen *endpointState
	for _, ranking := range t.rankings(now, query) {
		choice, s, tooLate := ranking.choose(now, t, query, latency)
		late = late.sooner(tooLate)
		if s != nil && (chosen == nil || choice.cost(&query, s) < best.cost(&query, chosen)) {
			best, chosen = choice, s
		}
	}
	if chosen != nil {
		return best, chosen
	}
	if choice, s := t.chooseCold(now, query, latency); s != nil {
		return choice, s
	}
	late.excludesUnlimited, late.staysInRegion = query.excludesUnlimited, query.staysInRegion
	return late, nil
}

// cost returns the expected latency of an endpoint plus its locality penalty.
func (c Choice) cost(query *Query, s *endpointState) time.Duration {
	return c.ExpectedLatency + query.localityPenalty(s.Place)
}

// chooseCold picks the first cold endpoint that may get a request now, by
// locality penalty and then by score.
func (t *Table) chooseCold(now time.Time, query Query, latency *latencyEstimate) (Choice, *endpointState) {
	var cold []rankedEndpoint
	for _, s := range t.byService[query.Service] {
		if t.checkEligibility(now, s, &query) == ExclusionNone && t.checkReadiness(now, s) == ExclusionCold {
			cold = append(cold, newRankedEndpoint(s, &query))
		}
	}
	slices.SortFunc(cold, func(a, b rankedEndpoint) int {
		return cmp.Or(cmp.Compare(query.localityPenalty(a.state.Place), query.localityPenalty(b.state.Place)), cmp.Compare(b.score, a.score))
	})
	for _, r := range cold {
		if t.hasColdRoom(now, r.state) {
			choice := r.state.estimate(now, query.AffinityKey, latency, false)
			choice.Reason = ReasonCold
			return choice, r.state
		}
	}
	return Choice{}, nil
}

// reasonFor returns the reason for choosing an endpoint by its position in the
// ranking and by the number of candidates up to it, itself included.
func reasonFor(position, candidates int) Reason {
	switch {
	case position == 0:
		return ReasonPrimary
	case candidates > affinityEndpoints:
		return ReasonNonAffinity
	default:
		return ReasonOverflow
	}
}

// estimate returns a choice with its expected latency: the wait for a slot plus
// the time to run. The primary endpoint of an object may have it cached through
// requests of other instances, so it is expected to take the mean of the times for
// cached and uncached objects.
func (s *endpointState) estimate(now time.Time, affinityKey uint64, latency *latencyEstimate, isPrimary bool) Choice {
	cached := s.cached.has(now, affinityKey)
	work := latency.uncached
	switch {
	case cached:
		work = latency.cached
	case isPrimary:
		work = (latency.cached + latency.uncached) / 2
	}
	queued := max(0, s.load(now)+1-float64(s.Slots)) / float64(s.Slots)
	wait := time.Duration(queued * float64(latency.mean()))
	return Choice{cached: cached, isMeasured: latency.isMeasured, ExpectedLatency: time.Duration(float64(wait+work) * s.slowness.factor(now))}
}

const (
	// affinityEndpoints is the number of endpoints that cache an object. An
	// endpoint caches 17 to 36 objects, and a service has 5 to 9 objects for each
	// endpoint. With three affinity endpoints and some endpoints unavailable, the
	// others got requests for more objects than they can cache.
	affinityEndpoints = 2
	// fallbackEndpoints is the number of further endpoints in a ranking. They
	// replace affinity endpoints that are cold or in backoff. With a third of a
	// service's endpoints unavailable, all five of a ranking are unavailable for
	// one object in 240.
	fallbackEndpoints = 3
	// maxLoadPerSlot is the load per slot, queued requests included, at which an
	// endpoint gets no more requests. Above it a request waits longer than it runs.
	maxLoadPerSlot = 2.0
	// maxNonAffinityLoadPerSlot is the same limit for an endpoint that is not an
	// affinity endpoint of the object.
	maxNonAffinityLoadPerSlot = 0.5
)

// mixBits spreads the bits of a hash (the finalizer of splitmix64).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
