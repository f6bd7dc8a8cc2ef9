package savorystep

import (
	"io"
	"net/http"
)

// A Response is an upstream's answer to a request. The reader of Body gets an
// error other than io.EOF if the answer ended early.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// BodyLength of the body in bytes, -1 if it is not known.
	BodyLength int64
	Endpoint   EndpointID
	Region     Region
	// Attempts is how many upstreams the request was sent to.
	Attempts int
}
