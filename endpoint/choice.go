package endpoint

import "savorystep"

// A Reason says why an endpoint was chosen.
type Reason string

// The reasons of choices, from the best.
const (
	// ReasonOwner means that it is the first in the object's order.
	ReasonOwner Reason = "owner"
	// ReasonOverflow means that those before it had no free slot.
	ReasonOverflow Reason = "overflow"
	// ReasonQueue means that no home of the object had a free slot.
	ReasonQueue Reason = "queue"
	// ReasonStranger means that all homes of the object were full.
	ReasonStranger Reason = "stranger"
	// ReasonCold means that only cold endpoints had room.
	ReasonCold Reason = "cold"
	// ReasonLast means that only endpoints that failed recently were left.
	ReasonLast Reason = "last"
)

// A Choice is an endpoint for a request.
type Choice struct {
	Endpoint savorystep.Endpoint
	Reason   Reason
	// Load is the estimated requests at the endpoint before this one.
	Load float64
}
