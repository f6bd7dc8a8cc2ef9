package savorystep

import (
	"slices"
	"time"
)

// A RouteName identifies a route.
type RouteName string

// A Route describes how requests for a host and path prefix are served. Fields are
// encoded under their Go names unless a tag says otherwise.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Class  RequestClass `cbor:"Repetition"`
	// Split distributes the requests over services. It has at least one element.
	Split []WeightedService
	// Timeout is the maximum time in which a request must be answered, 0 if the
	// operators set none.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value to
	// the caller.
	TargetLatency time.Duration `cbor:"Target"`
	// MaxAttempts is the maximum number of endpoints that a request may run on.
	MaxAttempts int `cbor:"Attempts"`
	// Priority is the priority of the route's requests. 0 is the highest.
	Priority int
	// Regions are the regions in which requests may run. Empty means all regions.
	Regions []Region
	// Sticky is true if requests for an object prefer the endpoints that handled
	// the object recently, since they are faster at it.
	Sticky bool
}

// A WeightedService is a service that receives a share of the requests of a route,
// in proportion to its weight.
type WeightedService struct {
	Service Service
	Weight  float64
}

// SendsTo reports whether the route sends requests to a service. The weight of a
// service that is the only one does not matter.
func (r *Route) SendsTo(service Service) bool {
	return slices.ContainsFunc(r.Split, func(w WeightedService) bool { return w.Service == service && (w.Weight > 0 || len(r.Split) == 1) })
}
