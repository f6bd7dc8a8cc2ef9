package savorystep

// A RequestClass says whether a request may run more than once.
type RequestClass uint8

// The kinds of repetition. Peers exchange them by number, so new ones come last.
const (
	// RequestClassNonIdempotent means that a request runs at most once.
	RequestClassNonIdempotent RequestClass = iota
	// RequestClassIdempotent means that running a request again does no harm.
	RequestClassIdempotent
	// RequestClassUpload means that a request runs at most once and has a large
	// body.
	RequestClassUpload
	// RequestClassDownload means that running a request again does no harm and
	// that its answers are large.
	RequestClassDownload
)

// String returns the name of the kind in logs.
func (r RequestClass) String() string {
	switch r {
	case RequestClassDownload:
		return "download"
	case RequestClassIdempotent:
		return "safe"
	case RequestClassUpload:
		return "upload"
	default:
		return "never"
	}
}

// Idempotent reports whether a request may run more than once.
func (r RequestClass) Idempotent() bool {
	return r == RequestClassIdempotent || r == RequestClassDownload
}
