package http1

import "net/http"

// A Response is an endpoint's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}
