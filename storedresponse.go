package savorystep

import "net/http"

// A StoredResponse is the complete response of an upstream to a keyed request. It
// is returned to callers that send the request again.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}
