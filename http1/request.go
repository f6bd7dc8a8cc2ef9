package http1

import (
	"net/http"

	"savorystep"
)

// A Request is one request to an endpoint. Its body is held in memory, since
// another endpoint may have to get it too.
type Request struct {
	Method string
	// Target is the request line's path and query, forwarded unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if the request has a body, which may be empty.
	HasBody bool
	// AttemptID is the id that the endpoint's answer echoes.
	AttemptID savorystep.RequestID
}
