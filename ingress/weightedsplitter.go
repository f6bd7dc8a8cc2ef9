package ingress

import "savorystep"

// A weightedSplitter deals the requests of a route to its parts by weight. The counts
// of the parts never differ from their shares by more than one.
type weightedSplitter struct {
	route       *savorystep.Route
	credits     []float64
	totalWeight float64
}

func newWeightedSplitter(route *savorystep.Route) *weightedSplitter {
	s := &weightedSplitter{route: route, credits: make([]float64, len(route.Split))}
	for _, part := range route.Split {
		s.totalWeight += part.Weight
	}
	return s
}

// next returns the service of the next request.
func (s *weightedSplitter) next() savorystep.Service {
	best := 0
	for i, part := range s.route.Split {
		s.credits[i] += part.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.totalWeight
	return s.route.Split[best].Service
}
