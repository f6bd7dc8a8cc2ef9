package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// A Router is what an instance decides by: the routing in force, the
// endpoints and what was seen of them. It is safe for concurrent use.
type Router struct {
	routing      atomic.Pointer[savorystep.Routing]
	hasEndpoints atomic.Bool

	mu        sync.Mutex
	table     *endpoint.Table
	splitters map[savorystep.RouteName]*weightedSplitter
	// responseSizes are the sizes of the responseSizes of routes.
	responseSizes responseSizes
}

// NewRouter returns a steering without routing and endpoints.
func NewRouter(config endpoint.Config) *Router {
	return &Router{table: endpoint.NewTable(config), splitters: make(map[savorystep.RouteName]*weightedSplitter), responseSizes: make(responseSizes)}
}

// Routing returns the routing in force, nil before the first.
func (s *Router) Routing() *savorystep.Routing {
	return s.routing.Load()
}

// IsReady reports whether there are a routing and a list of endpoints.
func (s *Router) IsReady() bool {
	return s.routing.Load() != nil && s.hasEndpoints.Load()
}

// SetRouting puts a routing in force unless a newer one is. It reports whether
// it did.
func (s *Router) SetRouting(routing *savorystep.Routing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.routing.Load(); known != nil && known.Revision >= routing.Revision {
		return false
	}
	s.table.SetSpecs(routing.Services)
	s.responseSizes.retain(routing)
	s.routing.Store(routing)
	return true
}

// SetInstances sets the instances that are known to run.
func (s *Router) SetInstances(now time.Time, ids []savorystep.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetInstances(now, ids)
}

// WithTable calls f with the table of endpoints.
func (s *Router) WithTable(f func(*endpoint.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}

// choose returns an endpoint for a request.
func (s *Router) choose(now time.Time, query endpoint.Query) (endpoint.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Choose(now, query)
}

// recordOutcome takes the outcome of an attempt.
func (s *Router) recordOutcome(now time.Time, choice endpoint.Choice, outcome endpoint.Outcome, load *endpoint.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Finish(now, choice, outcome, load)
}

// nextService returns the nextService that gets the next request of a route, and counts
// the request there.
func (s *Router) nextService(now time.Time, route *savorystep.Route) savorystep.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := route.Split[0].Service
	if len(route.Split) > 1 {
		known := s.splitters[route.Name]
		if known == nil || known.route != route {
			known = newWeightedSplitter(route)
			s.splitters[route.Name] = known
		}
		service = known.next()
	}
	s.table.CountRequest(now, service)
	return service
}

// prefersLocal reports whether a request with a body of a size has so large bodies
// that it stays near if it can.
func (s *Router) prefersLocal(route *savorystep.Route, body int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(body)+s.responseSizes.mean(route) >= minLocalBytes
}

// observeResponse takes the size of an answer of a route.
func (s *Router) observeResponse(route savorystep.RouteName, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseSizes.observe(route, size)
}

// mayRetry reports whether a request may be sent once more.
func (s *Router) mayRetry(now time.Time, service savorystep.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.AllowRetry(now, service)
}
