package endpoint

import (
	"slices"
	"time"

	"savorystep"
)

// A Query describes a request that needs an endpoint.
type Query struct {
	Service savorystep.Service
	// AffinityKey is the hash of the object that the request is about.
	AffinityKey uint64
	// Local is the place of this instance. PreferLocal is set for requests with
	// large bodies: they go to its zone, or else to its region, unless the expected
	// latency is much lower elsewhere.
	Local       savorystep.Place
	PreferLocal bool
	// AllowedRegions are the regions in which the request may run. Empty means any.
	AllowedRegions []savorystep.Region
	// AttemptedEndpoints are the endpoints to which the request was already sent.
	AttemptedEndpoints []savorystep.EndpointID
	// TimeLeft is the time until the deadline, zero if there is none.
	TimeLeft time.Duration

	// excludesUnlimited excludes the endpoints without a rate limit.
	excludesUnlimited bool
	// staysInRegion excludes the endpoints of other regions.
	staysInRegion bool
}

// proximity returns how near a place is for a request that prefers local endpoints: 2
// for the local zone, 1 for the local region. It is 0 for other places and for other
// requests.
func (q *Query) proximity(place savorystep.Place) int {
	switch {
	case !q.PreferLocal || place.Region != q.Local.Region:
		return 0
	case place.Zone != q.Local.Zone:
		return 1
	default:
		return 2
	}
}

// mayStayInRegion reports whether a request prefers local endpoints and may run in the
// region of this instance.
func (q *Query) mayStayInRegion() bool {
	return q.PreferLocal && (len(q.AllowedRegions) == 0 || slices.Contains(q.AllowedRegions, q.Local.Region))
}

// isTooLate reports whether a choice is expected to respond after the deadline.
// The request would only take a slot from others. Without measurements nothing is
// too late.
func (q *Query) isTooLate(choice Choice) bool {
	return q.TimeLeft > 0 && choice.isMeasured && choice.ExpectedLatency > q.TimeLeft
}
