package upstream

import (
	"fmt"

	"savorystep"
)

// An AttemptError describes an attempt that ended without a response to pass
// on.
type AttemptError struct {
	Endpoint savorystep.EndpointID
	// Sent is true if a byte of the request may have left this instance.
	Sent bool
	// Shed is true if the endpoint rejected the request without running it.
	Shed bool
	// EndpointCrashed is true if the endpoint's process ended while it ran the
	// request.
	EndpointCrashed bool
	Err             error
}

// Error returns the endpoint and the cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("endpoint %s: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error {
	return e.Err
}

// Execution reports whether the endpoint ran the request.
func (e *AttemptError) Execution() savorystep.Execution {
	if e.Shed || !e.Sent {
		return savorystep.NotExecuted
	}
	return savorystep.ExecutionUnknown
}
