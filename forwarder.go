package savorystep

import "context"

// A Forwarder runs a request on an upstream. Implementations wrap each other:
// keys, quarantine, retries, and last the choice of an endpoint.
//
// Errors have a kind; its Ran value is true to what happened.
type Forwarder interface {
	Forward(ctx context.Context, request *Request) (*Response, error)
}
