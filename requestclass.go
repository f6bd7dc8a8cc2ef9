package savorystep

// A RequestClass says whether a route's requests may run more than once and whether
// their bodies or responses are large.
type RequestClass uint8

// The request classes. Instances exchange them by number, so new ones are added at
// the end.
const (
	// RequestClassNonIdempotent means that a request may run at most once.
	RequestClassNonIdempotent RequestClass = iota
	// RequestClassIdempotent means that a request may run more than once.
	RequestClassIdempotent
	// RequestClassUpload means that a request may run at most once and has a large
	// body.
	RequestClassUpload
	// RequestClassDownload means that a request may run more than once and has a
	// large response.
	RequestClassDownload
)

// String returns the name of the class in logs and metrics.
func (c RequestClass) String() string {
	switch c {
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
func (c RequestClass) Idempotent() bool {
	return c == RequestClassIdempotent || c == RequestClassDownload
}
