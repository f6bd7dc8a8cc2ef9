package savorystep

import "net/http"

// An Answer is a whole stored answer of an upstream.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}
