package upstream

import (
	"fmt"

	"savorystep"
)

// An AttemptError says how an attempt at sending a request to an endpoint
// ended without an answer to pass on.
type AttemptError struct {
	Endpoint savorystep.EndpointID
	// Sent is true if a byte of the request may have left this instance.
	Sent bool
	// Shed is true if the endpoint said that it did not run the request.
	Shed bool
	// EndpointDied is true if the endpoint ended while it ran the request.
	EndpointDied bool
	Err          error
}

// Error returns the endpoint and the cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("endpoint %s: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error {
	return e.Err
}

// Ran says whether the request was run.
func (e *AttemptError) Ran() savorystep.Execution {
	if e.Shed || !e.Sent {
		return savorystep.NotExecuted
	}
	return savorystep.ExecutionUnknown
}
