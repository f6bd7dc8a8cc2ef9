package savorystep

// HeaderNames holds the names of the HTTP headers that the callers and endpoints
// of a platform use. The comments describe the values of the headers.
type HeaderNames struct {
	// AffinityKey identifies the object that a request refers to.
	AffinityKey string
	// AttemptID identifies one attempt of a caller to send a request.
	AttemptID string
	// ColdRemaining is the remaining warm-up time of an endpoint, sent in the
	// response to a health check.
	ColdRemaining string
	// Deadline is the remaining time of a request in milliseconds.
	Deadline string
	// EndpointID is the ID of the endpoint that responds. Not all responses have
	// it.
	EndpointID string
	// ExpectedEndpoint is the ID of the only endpoint that may run a request.
	ExpectedEndpoint string
	// Load is the number of running requests, of queued requests and of slots of
	// an endpoint, separated by commas.
	Load string
	// NotExecuted marks the response of an endpoint that did not run the request.
	NotExecuted string
	// RateLimit is the number of requests per second that an endpoint takes from all
	// instances together, for as long as its responses state it.
	RateLimit string
	// Signature proves that the response comes from the endpoint.
	Signature string
}
