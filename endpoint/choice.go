package endpoint

import (
	"time"

	"savorystep"
)

// A Reason says why an endpoint was chosen.
type Reason string

// The reasons for a choice, from the most to the least preferred.
const (
	// ReasonPrimary means that the endpoint is the first affinity endpoint of the
	// object.
	ReasonPrimary Reason = "owner"
	// ReasonOverflow means that it is another affinity endpoint of the object, or
	// a fallback for one, because those before it in the ranking are unavailable,
	// loaded or slower.
	ReasonOverflow Reason = "overflow"
	// ReasonNonAffinity means that no affinity endpoint of the object can take the
	// request.
	ReasonNonAffinity Reason = "stranger"
	// ReasonCold means that only cold endpoints can take the request.
	ReasonCold Reason = "cold"
)

// A Choice is an endpoint for a request.
type Choice struct {
	Endpoint savorystep.Endpoint
	Reason   Reason
	// Load is the estimated number of requests at the endpoint before this one.
	Load float64
	// ExpectedLatency is the estimated time until the response.
	ExpectedLatency time.Duration

	// IsRateLimited is true if a rate limit of the endpoint is in force, RateLimit.
	IsRateLimited bool
	RateLimit     savorystep.RequestsPerSecond
	// RecentRequests is the number of requests that this instance sent to the
	// endpoint in the last rateLimitWindow, this one included. It is set only if a
	// rate limit is in force.
	RecentRequests int

	// number identifies the choice among those of this instance.
	number      uint64
	affinityKey uint64
	startedAt   time.Time
	// wasCold is true if the endpoint counted as cold.
	wasCold bool
	// cached is true if the endpoint was assumed to have the object cached.
	cached bool
	// excludesUnlimited is that of the query for which no endpoint was found.
	excludesUnlimited bool
	// staysInRegion is that of the query for which no endpoint was found.
	staysInRegion bool
	// overflow counts the choice, nil unless the request prefers local endpoints.
	overflow *windowCounter
	// isMeasured is true if ExpectedLatency rests on measurements of the service.
	isMeasured bool
}

// sooner returns the choice with the lower expected latency. A choice with an
// expected latency of zero is no choice.
func (c Choice) sooner(other Choice) Choice {
	if c.ExpectedLatency == 0 || other.ExpectedLatency < c.ExpectedLatency {
		return other
	}
	return c
}
