package savorystep

import (
	"io"
	"net/http"
)

// A Response is an upstream's response to a request. Reading Body returns an error
// other than io.EOF if the upstream ended the response early.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// BodyLength is the length of the body in bytes, -1 if it is unknown.
	BodyLength int64
	Endpoint   EndpointID
	Region     Region
	// Attempts is the number of endpoints that the request was sent to.
	Attempts int
}
