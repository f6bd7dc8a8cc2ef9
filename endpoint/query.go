package endpoint

import (
	"time"

	"savorystep"
)

// A Query asks for an endpoint for one request.
type Query struct {
	Service savorystep.Service
	// AffinityKey is the hash of the object that the request is about.
	AffinityKey uint64
	// Local is the place of this instance. Near requests have large bodies and
	// stay in its zone, or else in its region, unless another place is expected
	// to answer much sooner.
	Local       savorystep.Place
	PreferLocal bool
	// AllowedRegions are where the request may run. Empty means anywhere.
	AllowedRegions []savorystep.Region
	// AttemptedEndpoints are endpoints that the request was sent to before.
	AttemptedEndpoints []savorystep.EndpointID
	// TimeLeft is the time that the request has, zero if it has no end.
	TimeLeft time.Duration
}

// isLate reports whether a choice is expected to answer when nobody waits any
// more. Such a request would only take a slot from others.
func (q *Query) isLate(choice Choice) bool {
	return q.TimeLeft > 0 && choice.measured && choice.ExpectedLatency > q.TimeLeft
}
