package endpoint

import (
	"time"

	"savorystep"
)

// A Query asks for an endpoint for one request.
type Query struct {
	Service savorystep.Service
	// Key is the hash of the object that the request is about.
	Key uint64
	// Home is the place of this instance. Near requests have large bodies and
	// stay in its zone, or else in its region, unless another place is expected
	// to answer much sooner.
	Home savorystep.Place
	Near bool
	// Regions are where the request may run. Empty means anywhere.
	Regions []savorystep.Region
	// Tried are endpoints that the request was sent to before.
	Tried []savorystep.EndpointID
	// Left is the time that the request has, zero if it has no end.
	Left time.Duration
}

// isLate reports whether a choice is expected to answer when nobody waits any
// more. Such a request would only take a slot from others.
func (q *Query) isLate(choice Choice) bool {
	return q.Left > 0 && choice.measured && choice.Expected > q.Left
}
