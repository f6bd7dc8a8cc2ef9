package savorystep

// HeaderNames are the names of the headers that a platform's callers and
// endpoints use.
type HeaderNames struct {
	// AffinityKey names the object that a request is about.
	AffinityKey string
	// AttemptID is the id of one sending of a request by its caller.
	AttemptID string
	// ColdRemaining is how long an endpoint stays cold, in a health answer.
	ColdRemaining string
	// Deadline is the time left, in milliseconds.
	Deadline string
	// EndpointID is the id of the endpoint that answers, in some answers.
	EndpointID string
	// ExpectedEndpoint is the id of the only endpoint that may run a request.
	ExpectedEndpoint string
	// Load is the running and the waiting requests and the slots of an
	// endpoint, joined by commas.
	Load string
	// NotExecuted marks the answer of an endpoint that did not run the request.
	NotExecuted string
	// Signature is the endpoint's proof that an answer is its own.
	Signature string
}
