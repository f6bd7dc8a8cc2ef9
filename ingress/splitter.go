package ingress

import "savorystep"

// A splitter deals the requests of a route to its parts by weight. The counts
// of the parts never differ from their shares by more than one.
type splitter struct {
	route  *savorystep.Route
	credit []float64
	total  float64
}

func newSplitter(route *savorystep.Route) *splitter {
	s := &splitter{route: route, credit: make([]float64, len(route.Split))}
	for _, part := range route.Split {
		s.total += part.Weight
	}
	return s
}

// next returns the service of the next request.
func (s *splitter) next() savorystep.Service {
	best := 0
	for i, part := range s.route.Split {
		s.credit[i] += part.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.route.Split[best].Service
}
