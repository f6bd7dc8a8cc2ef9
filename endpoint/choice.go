package endpoint

import (
	"time"

	"savorystep"
)

// A Reason says why an endpoint was chosen.
type Reason string

// The reasons of choices, from the best.
const (
	// ReasonPrimary means that it is the first home of the object.
	ReasonPrimary Reason = "owner"
	// ReasonOverflow means that it answers sooner than the homes before it.
	ReasonOverflow Reason = "overflow"
	// ReasonNonAffinity means that all homes of the object have long queues.
	ReasonNonAffinity Reason = "stranger"
	// ReasonCold means that only cold endpoints had room.
	ReasonCold Reason = "cold"
)

// A Choice is an endpoint for a request.
type Choice struct {
	Endpoint savorystep.Endpoint
	Reason   Reason
	// Load is the estimated requests at the endpoint before this one.
	Load float64
	// ExpectedLatency is the estimated time to the answer.
	ExpectedLatency time.Duration

	key   uint64
	began time.Time
	// kept is true if the endpoint was believed to keep the object.
	kept bool
	// measured is true if Expected rests on measurements of the service.
	measured bool
}

// sooner returns the choice that can answer first. A choice without a time is
// none.
func (c Choice) sooner(other Choice) Choice {
	if c.ExpectedLatency == 0 || other.ExpectedLatency < c.ExpectedLatency {
		return other
	}
	return c
}
