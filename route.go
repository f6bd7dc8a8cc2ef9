package savorystep

import "time"

// A RouteName names a route.
type RouteName string

// A Route says how requests for a host and path prefix are served.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Repetition Repetition
	// Split has one part if all requests go to one service.
	Split []Part
	// Timeout is the longest time that a request is kept waiting, zero if the
	// operators set none. Target is the
	// time within which an answer is worth most.
	Timeout, Target time.Duration
	// Attempts is how many endpoints one request may run on.
	Attempts int
	// Priority is the rank of the route's requests, 0 is the highest.
	Priority int
	// Regions are where requests may run. Empty means anywhere.
	Regions []Region
	// Sticky is true if an endpoint works faster on an object that it handled
	// recently.
	Sticky bool
}

// A Part is a service's share of the requests of a route.
type Part struct {
	Service Service
	Weight  float64
}
