package savorystep

// HeaderNames are the names of the headers that a platform's callers and
// endpoints use.
type HeaderNames struct {
	// Affinity names the object that a request is about.
	Affinity string
	// Attempt is the id of one sending of a request by its caller.
	Attempt string
	// Cold is how long an endpoint stays cold, in a health answer.
	Cold string
	// Deadline is the time left, in milliseconds.
	Deadline string
	// Endpoint is the id of the endpoint that answers, in some answers.
	Endpoint string
	// Expected is the id of the only endpoint that may run a request.
	Expected string
	// Load is the running and the waiting requests and the slots of an
	// endpoint, joined by commas.
	Load string
	// NotRun marks the answer of an endpoint that did not run the request.
	NotRun string
	// Signature is the endpoint's proof that an answer is its own.
	Signature string
}
