package standin

import "savorystep"

// An UpstreamResponse is the first line of the body of an Upstream's response, as
// JSON. It shows which request the endpoint received and ran.
type UpstreamResponse struct {
	Request  savorystep.RequestID  `json:"request"`
	Service  savorystep.Service    `json:"service"`
	Endpoint savorystep.EndpointID `json:"endpoint"`
	// Path and Query are those of the received request.
	Path  string `json:"path"`
	Query string `json:"query,omitempty"`
	// SHA256 and Length are the hash and the length in bytes of the received
	// body.
	SHA256 string `json:"sha256"`
	Length int64  `json:"length"`
	// RunCount is how often this endpoint has run the request so far, including
	// this run.
	RunCount int `json:"run"`
}
