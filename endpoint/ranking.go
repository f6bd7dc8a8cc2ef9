package endpoint

import (
	"slices"
	"time"

	"savorystep"
)

// A rankedEndpoint is an endpoint with its rendezvous score for the object of a
// request. The endpoint with the highest score ranks first.
type rankedEndpoint struct {
	state *endpointState
	score uint64
}

func newRankedEndpoint(s *endpointState, query *Query) rankedEndpoint {
	return rankedEndpoint{state: s, score: mixBits(s.idHash ^ query.AffinityKey)}
}

// maxRanking is the number of endpoints in a ranking.
const maxRanking = affinityEndpoints + fallbackEndpoints

// A ranking holds the endpoints of a zone, of a region or of all places that rank
// first in rendezvous hashing for the object of a request. All instances with the
// same endpoint list compute the same ranking.
type ranking struct {
	endpoints []rankedEndpoint
}

// add inserts an endpoint at its position, if it is among the first maxRanking.
func (r *ranking) add(e rankedEndpoint) {
	if len(r.endpoints) == maxRanking && e.score <= r.endpoints[maxRanking-1].score {
		return
	}
	i := len(r.endpoints)
	for i > 0 && r.endpoints[i-1].score < e.score {
		i--
	}
	if len(r.endpoints) == maxRanking {
		r.endpoints = r.endpoints[:maxRanking-1]
	}
	r.endpoints = slices.Insert(r.endpoints, i, e)
}

// rankings returns the rankings of the endpoints that are eligible for a request,
// the nearest place first. A request that prefers local endpoints has rankings for
// the zone and the region of this instance and for all places, any other request
// only that for all places.
func (t *Table) rankings(now time.Time, query Query) []ranking {
	rankings := make([]ranking, 1, 3)
	if query.PreferLocal {
		rankings = rankings[:3]
	}
	for i := range rankings {
		rankings[i].endpoints = make([]rankedEndpoint, 0, maxRanking)
	}
	for _, s := range t.byService[query.Service] {
		if t.checkEligibility(now, s, &query) != ExclusionNone {
			continue
		}
		r := newRankedEndpoint(s, &query)
		rankings[0].add(r)
		if !query.PreferLocal || s.Place.Region != query.Local.Region {
			continue
		}
		rankings[1].add(r)
		if s.Place.Zone == query.Local.Zone {
			rankings[2].add(r)
		}
	}
	// They were filled from the widest place to the nearest.
	slices.Reverse(rankings)
	return rankings
}

// choose picks the endpoint with the lowest expected latency, and returns the
// soonest of those that would respond after the deadline. Endpoints that are cold
// or in backoff are skipped, and the next in the ranking replace them. Only the
// first affinityEndpoints are considered, and one more if none of them can take
// the request: any other would have to fetch the object first and evict another
// one from its cache.
func (r *ranking) choose(now time.Time, t *Table, query Query, latency *latencyEstimate) (best Choice, chosen *endpointState, late Choice) {
	candidates := 0
	for i, e := range r.endpoints {
		s := e.state
		if t.checkReadiness(now, s) != ExclusionNone {
			continue
		}
		if candidates >= affinityEndpoints && (chosen != nil || candidates > affinityEndpoints) {
			break
		}
		candidates++
		limit := maxLoadPerSlot
		if candidates > affinityEndpoints {
			limit = maxNonAffinityLoadPerSlot
		}
		if s.checkLoad(now, limit) != ExclusionNone {
			continue
		}
		choice := s.estimate(now, query.AffinityKey, latency, i == 0)
		if query.isTooLate(choice) {
			late = late.sooner(choice)
			continue
		}
		if chosen == nil || choice.ExpectedLatency < best.ExpectedLatency {
			best, chosen = choice, s
			best.Reason = reasonFor(i, candidates)
		}
	}
	return best, chosen, late
}

const (
	// zonePenalty and regionPenalty are added to the expected latency of an
	// endpoint in another zone or region for a request with large bodies. A round
	// trip to another region takes 70 ms, and a connection needs four of them to
	// send 60 kB. The zones of a region are close to each other, but a zone penalty
	// of 40 ms let the traffic between zones grow by a third and no request was
	// faster.
	zonePenalty   = 140 * time.Millisecond
	regionPenalty = 280 * time.Millisecond
)

// localityPenalty returns by how much the expected latency of an endpoint at a
// place must be lower than that of a local one.
func (q *Query) localityPenalty(place savorystep.Place) time.Duration {
	switch {
	case !q.PreferLocal || place == q.Local:
		return 0
	case place.Region == q.Local.Region:
		return zonePenalty
	default:
		return regionPenalty
	}
}
