package http1

import (
	"net/http"

	"savorystep"
)

// A Request is a request to an endpoint. Its body is held in memory, because a
// retry may send it to another endpoint.
type Request struct {
	Method string
	// Target is the request target (path and query), forwarded unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if the request has a body, which may be empty.
	HasBody bool
	// AttemptID is the id that the endpoint echoes in its response.
	AttemptID savorystep.RequestID
}
