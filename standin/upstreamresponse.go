package standin

import "savorystep"

// An UpstreamResponse is the first line of the body that an Upstream answers
// with.
type UpstreamResponse struct {
	Request  savorystep.RequestID  `json:"request"`
	Service  savorystep.Service    `json:"service"`
	Endpoint savorystep.EndpointID `json:"endpoint"`
	// Path and Query are those that the upstream received.
	Path  string `json:"path"`
	Query string `json:"query,omitempty"`
	// SHA256 and Length describe the received body.
	SHA256 string `json:"sha256"`
	Length int64  `json:"length"`
	// RunCount is how often this endpoint has run this request, this run included.
	RunCount int `json:"run"`
}
