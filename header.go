package savorystep

// The HTTP headers of savorystep.
const (
	// HeaderAttempt is "1" in a keyed request if its caller sends it for the
	// first time. Without it a refusal does not say that the request did not
	// run, unless the key ledger knows.
	HeaderAttempt = "Savorystep-Attempt"
	// HeaderAttempts is how many upstreams a request was sent to.
	HeaderAttempts = "Savorystep-Attempts"
	// HeaderDeadline is the time left for a request, in milliseconds.
	HeaderDeadline = "Savorystep-Deadline"
	// HeaderEndpoint is the endpoint that answered.
	HeaderEndpoint = "Savorystep-Endpoint"
	// HeaderFrom is the region or IP number that a caller calls from.
	HeaderFrom = "Savorystep-From"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderKind is the error kind.
	HeaderKind = "Savorystep-Kind"
	// HeaderRan is "no", "unknown" or "yes".
	HeaderRan = "Savorystep-Ran"
	// HeaderRequest is the request id.
	HeaderRequest = "Savorystep-Request"
	// HeaderRevision is the revision that a request was steered by.
	HeaderRevision = "Savorystep-Revision"
	// HeaderShed is set to "1" by an upstream that did not run a request.
	HeaderShed = "Savorystep-Shed"
)
