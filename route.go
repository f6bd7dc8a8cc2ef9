package savorystep

import "time"

// A RouteName names a route.
type RouteName string

// A Route says how requests for a host and path prefix are served.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Class  RequestClass `cbor:"Repetition"`
	// Split has one part if all requests go to one service.
	Split []WeightedService
	// Timeout is the longest time that a request is kept waiting, zero if the
	// operators set none. TargetLatency is the
	// time within which an answer is worth most.
	Timeout       time.Duration
	TargetLatency time.Duration `cbor:"Target"`
	// MaxAttempts is how many endpoints one request may run on.
	MaxAttempts int `cbor:"Attempts"`
	// Priority is the rank of the route's requests, 0 is the highest.
	Priority int
	// Regions are where requests may run. Empty means anywhere.
	Regions []Region
	// Sticky is true if an endpoint works faster on an object that it handled
	// recently.
	Sticky bool
}

// A WeightedService is a service's share of the requests of a route.
type WeightedService struct {
	Service Service
	Weight  float64
}
