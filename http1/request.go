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
	// BeforeSend is called after a connection was opened for the request and before the
	// first byte is written. If it returns an error, the request is not sent. It is
	// optional.
	BeforeSend func() error
	// AttemptID is the id that the endpoint echoes in its response.
	AttemptID savorystep.RequestID
}

// confirm calls BeforeSend if there is one.
func (r *Request) confirm() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}
