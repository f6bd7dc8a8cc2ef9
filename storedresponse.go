package savorystep

import "net/http"

// An StoredResponse is a whole stored answer of an upstream.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}
