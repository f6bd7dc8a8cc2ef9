package savorystep

import "context"

// A Forwarder sends a request to an upstream and returns its response.
// Implementations wrap each other, from the outermost to the innermost:
// idempotency keys, quarantine, retries and the choice of an endpoint.
//
// Errors have a kind. Their Execution never says Executed or NotExecuted unless
// that is certain.
type Forwarder interface {
	Forward(ctx context.Context, request *Request) (*Response, error)
}
