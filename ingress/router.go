package ingress

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// A Router holds the routing in force and the table of endpoints, and selects the
// service and the endpoint for each request. It is safe for concurrent use.
type Router struct {
	routing      atomic.Pointer[savorystep.Routing]
	hasEndpoints atomic.Bool
	// routingChanged holds a value after a change of the routing, for one receiver.
	routingChanged chan struct{}

	mu sync.Mutex
	// runtimeClock counts suspensions of the machine. It is nil if standstills of this
	// instance are not watched.
	runtimeClock  savorystep.Clock
	table         *endpoint.Table
	splitters     map[savorystep.RouteName]*weightedSplitter
	responseSizes responseSizes
}

// NewRouter returns a router without routing and endpoints.
func NewRouter(config endpoint.Config) *Router {
	return &Router{routingChanged: make(chan struct{}, 1), table: endpoint.NewTable(config), splitters: make(map[savorystep.RouteName]*weightedSplitter), responseSizes: make(responseSizes)}
}

// Routing returns the routing in force, or nil before the first SetRouting.
func (r *Router) Routing() *savorystep.Routing {
	return r.routing.Load()
}

// IsReady reports whether the routing and the endpoint list have been received.
func (r *Router) IsReady() bool {
	return r.routing.Load() != nil && r.hasEndpoints.Load()
}

// SetRouting puts a routing in force and returns true. It returns false if the
// revision in force is the same or newer.
func (r *Router) SetRouting(routing *savorystep.Routing) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.routing.Load(); current != nil && current.Revision >= routing.Revision {
		return false
	}
	r.setRouting(routing)
	return true
}

// RestoreRouting puts a routing in force whose revision need not be newer, because the
// store has come back from a copy.
func (r *Router) RestoreRouting(routing *savorystep.Routing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setRouting(routing)
}

// setRouting puts a routing in force. The caller holds mu.
func (r *Router) setRouting(routing *savorystep.Routing) {
	r.table.SetSpecs(routing.Services)
	r.responseSizes.retain(routing)
	r.routing.Store(routing)
	select {
	case r.routingChanged <- struct{}{}:
	default:
	}
}

// SetInstances sets the instances that are known to be running.
func (r *Router) SetInstances(now time.Time, ids []savorystep.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(now)
	r.table.SetInstances(now, ids)
}

// WatchStandstills makes the router treat all endpoints as cold after this instance stood
// still, until the endpoint list is read. The clock counts suspensions of the machine.
// SetInstances must be called every 250 ms from then on.
func (r *Router) WatchStandstills(runtimeClock savorystep.Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runtimeClock = runtimeClock
}

// tick records that this instance runs. The caller holds mu.
func (r *Router) tick(now time.Time) {
	if r.runtimeClock != nil {
		r.table.Tick(now, r.runtimeClock.Now())
	}
}

// WithTable calls f with the endpoint table while the router is locked. f must not
// keep the table or call the router.
func (r *Router) WithTable(f func(*endpoint.Table)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.table)
}

// choose returns an endpoint for a request. If it returns false, no endpoint can
// take the request.
func (r *Router) choose(now time.Time, query endpoint.Query) (endpoint.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(now)
	return r.table.Choose(now, query)
}

// recheck returns an error if the endpoint of a choice that is not sent yet has said
// since that it wants no requests.
func (r *Router) recheck(now time.Time, choice endpoint.Choice) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.table.Recheck(now, choice); e != endpoint.ExclusionNone {
		return &withdrawnError{exclusion: e}
	}
	return nil
}

// recordOutcome records the outcome of an attempt. load is nil if the endpoint
// reported none.
func (r *Router) recordOutcome(now time.Time, choice endpoint.Choice, outcome endpoint.Outcome, load *endpoint.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Finish(now, choice, outcome, load)
}

// CountRateLimited returns the number of endpoints with a rate limit in force.
func (r *Router) CountRateLimited(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountRateLimited(now)
}

// matchAgain returns the routing in force and the route that matches a request in it.
// It returns the earlier ones if the routing has not changed, or has no such route.
func (r *Router) matchAgain(earlier *savorystep.Routing, route *savorystep.Route, host, path string) (*savorystep.Routing, *savorystep.Route) {
	routing := r.routing.Load()
	if routing == earlier {
		return earlier, route
	}
	if matched := routing.Match(host, path); matched != nil {
		return routing, matched
	}
	return earlier, route
}

// recordRetryAfter records that an endpoint wants no requests from this instance for a
// time. It returns the end of that time, and true if it has begun or was moved.
func (r *Router) recordRetryAfter(now time.Time, choice endpoint.Choice, wait time.Duration) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.RecordRetryAfter(now, choice, wait)
}

// earliestReturn returns when the first endpoint for a request wants requests again. It
// returns false unless all of them want none now.
func (r *Router) earliestReturn(now time.Time, query endpoint.Query) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.EarliestReturn(now, query)
}

// CountClosed returns the number of endpoints that want no requests from this instance
// now.
func (r *Router) CountClosed(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountClosed(now)
}

// Excluded returns the endpoints that may get no requests now, by service and id.
func (r *Router) Excluded(now time.Time) []endpoint.ExcludedEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Excluded(now)
}

// spec returns the configuration of a service, false if there is none.
func (r *Router) spec(service savorystep.Service) (savorystep.ServiceSpec, bool) {
	routing := r.routing.Load()
	if routing == nil {
		return savorystep.ServiceSpec{}, false
	}
	spec, ok := routing.Services[service]
	return spec, ok
}

// isStopping reports whether an endpoint stops as planned, or may.
func (r *Router) isStopping(e savorystep.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsStopping(e)
}

// RestartTotals returns sums over the restarts of endpoints that were listed.
func (r *Router) RestartTotals() endpoint.RestartTotals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.RestartTotals()
}

// CountLeaving returns the number of endpoints that have said that they leave.
func (r *Router) CountLeaving() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountLeaving()
}

// nextService returns the service for the next request of a route by the weights
// of the route, and counts the request for the service.
func (r *Router) nextService(now time.Time, route *savorystep.Route) savorystep.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := route.Split[0].Service
	if len(route.Split) > 1 {
		splitter := r.splitters[route.Name]
		if splitter == nil || splitter.route != route {
			splitter = newWeightedSplitter(route)
			r.splitters[route.Name] = splitter
		}
		service = splitter.next()
	}
	r.table.CountRequest(now, service)
	return service
}

// homesFor returns the regions in which a request may run now, empty if in all. If
// the routing has changed since the request was matched, those of the route that
// matches it now count, unless that route does not send requests to its service.
func (r *Router) homesFor(pr *proxiedRequest) []savorystep.Region {
	if routing := r.routing.Load(); routing != pr.routing {
		path, _, _ := strings.Cut(pr.Target, "?")
		if route := routing.Match(pr.Host, path); route != nil && route.SendsTo(pr.service) {
			return route.Regions
		}
	}
	return pr.route.Regions
}

// prefersLocal reports whether a request with a body of bodyBytes is expected to
// transfer so much that it should stay in its zone or region.
func (r *Router) prefersLocal(route *savorystep.Route, bodyBytes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(bodyBytes)+r.responseSizes.mean(route) >= minLocalBytes
}

// observeResponse adds the size of a response body to the mean of its route.
func (r *Router) observeResponse(route savorystep.RouteName, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseSizes.observe(route, size)
}

// mayRetry reports whether the retry budget of a service allows another attempt,
// and charges it.
func (r *Router) mayRetry(now time.Time, service savorystep.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.AllowRetry(now, service)
}
