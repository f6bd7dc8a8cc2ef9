package ingress

import "savorystep"

// A weightedSplitter distributes the requests of a route to its services by smooth
// weighted round-robin. The request count of a service never differs from its
// weighted share by more than one. It is not safe for concurrent use.
type weightedSplitter struct {
	route       *savorystep.Route
	credits     []float64
	totalWeight float64
}

func newWeightedSplitter(route *savorystep.Route) *weightedSplitter {
	s := &weightedSplitter{route: route, credits: make([]float64, len(route.Split))}
	for _, weighted := range route.Split {
		s.totalWeight += weighted.Weight
	}
	return s
}

// next returns the service for the next request.
func (s *weightedSplitter) next() savorystep.Service {
	best := 0
	for i, weighted := range s.route.Split {
		s.credits[i] += weighted.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.totalWeight
	return s.route.Split[best].Service
}
