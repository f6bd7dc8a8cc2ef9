package endpoint

import (
	"slices"
	"time"

	"savorystep"
)

// A ranked is an endpoint with its score for a request's object. The highest
// score comes first.
type ranked struct {
	server *server
	score  uint64
}

func newRanked(s *server, query *Query) ranked {
	return ranked{server: s, score: mix(s.hash ^ query.AffinityKey)}
}

// maxOrder is how many endpoints of an order are looked at.
const maxOrder = homes + standIns

// An order holds the first endpoints of a place (a zone, a region or all) by their
// scores for a request's object. All instances compute the same order from the
// same list.
type order struct {
	list []ranked
}

// add puts an endpoint into its place in the order, if it is among the first.
func (o *order) add(r ranked) {
	if len(o.list) == maxOrder && r.score <= o.list[maxOrder-1].score {
		return
	}
	i := len(o.list)
	for i > 0 && o.list[i-1].score < r.score {
		i--
	}
	if len(o.list) == maxOrder {
		o.list = o.list[:maxOrder-1]
	}
	o.list = slices.Insert(o.list, i, r)
}

// orders returns the orders of endpoints that a request can go to, the nearest
// place first: for a request with large bodies those of the availability zone and
// of the region of this instance, and always that of all endpoints.
func (t *Table) orders(now time.Time, query Query) []order {
	orders := make([]order, 1, 3)
	if query.PreferLocal {
		orders = orders[:3]
	}
	for i := range orders {
		orders[i].list = make([]ranked, 0, maxOrder)
	}
	for _, s := range t.byService[query.Service] {
		if !t.mayGet(now, s, &query) {
			continue
		}
		r := newRanked(s, &query)
		orders[0].add(r)
		if !query.PreferLocal || s.Place.Region != query.Local.Region {
			continue
		}
		orders[1].add(r)
		if s.Place.Zone == query.Local.Zone {
			orders[2].add(r)
		}
	}
	// They were filled from the widest to the nearest.
	slices.Reverse(orders)
	return orders
}

// choose picks the endpoint that is expected to answer first, and returns the
// soonest of those that would answer too late. Only the homes of an object are
// asked, and one more if they have long queues: others would have to fetch the
// object first and would forget one of their own for it. The next few in the
// order stand in for homes that are away.
func (o *order) choose(now time.Time, query Query, p *pace) (best Choice, chosen *server, late Choice) {
	candidates := 0
	for i, r := range o.list {
		s := r.server
		if s.isHeld(now) || s.isCold(now) {
			continue
		}
		if candidates >= homes && (chosen != nil || candidates > homes) {
			break
		}
		candidates++
		limit := maxQueue
		if candidates > homes {
			limit = mostlyFree
		}
		if s.load(now) >= limit*float64(s.Slots) {
			continue
		}
		choice := s.estimate(now, query.AffinityKey, p, i == 0)
		if query.isLate(choice) {
			late = late.sooner(choice)
			continue
		}
		if chosen == nil || choice.ExpectedLatency < best.ExpectedLatency {
			best, chosen = choice, s
			best.Reason = reasonOf(i, candidates)
		}
	}
	return best, chosen, late
}

const (
	// zoneCrossing and regionCrossing are how much sooner another zone or region
	// has to answer a request with large bodies. A region is 70 ms away and back,
	// and a connection sends 60 kB in four round trips. Zones are near, but at
	// 40 ms the bytes between them grew by a third and nobody was served sooner.
	zoneCrossing   = 140 * time.Millisecond
	regionCrossing = 280 * time.Millisecond
)

// crossing returns by how much an endpoint elsewhere has to answer sooner.
func (q *Query) crossing(place savorystep.Place) time.Duration {
	switch {
	case !q.PreferLocal || place == q.Local:
		return 0
	case place.Region == q.Local.Region:
		return zoneCrossing
	default:
		return regionCrossing
	}
}
