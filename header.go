package savorystep

// The HTTP headers of savorystep's own protocol.
const (
	// HeaderAttempt is "1" in a keyed request that its caller sends for the first
	// time. Without it, a request refused before the idempotency store was
	// consulted is reported as possibly executed, since an earlier attempt may
	// have run.
	HeaderAttempt = "Savorystep-Attempt"
	// HeaderAttempts is the number of endpoints that a request was sent to.
	HeaderAttempts = "Savorystep-Attempts"
	// HeaderDeadline is the remaining time of a request in milliseconds.
	HeaderDeadline = "Savorystep-Deadline"
	// HeaderEndpoint is the ID of the endpoint that responded.
	HeaderEndpoint = "Savorystep-Endpoint"
	// HeaderEra is the era of the platform's table, see StoreEra.
	HeaderEra = "Savorystep-Era"
	// HeaderFrom is the region or IP address that the caller sends from.
	HeaderFrom = "Savorystep-From"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderKind is the name of the error kind of a response.
	HeaderKind = "Savorystep-Kind"
	// HeaderRan says whether the request ran: "no", "unknown" or "yes".
	HeaderRan = "Savorystep-Ran"
	// HeaderRequest is the ID of the request.
	HeaderRequest = "Savorystep-Request"
	// HeaderRevision is the configuration revision used to route the request.
	HeaderRevision = "Savorystep-Revision"
	// HeaderShed is set to "1" by an upstream that sheds a request under overload
	// without running it.
	HeaderShed = "Savorystep-Shed"
)
