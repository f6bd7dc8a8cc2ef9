package entry

import (
	"io"
	"net/http"
	"time"

	"savorystep"
)

// A Request is a request to a service. Path includes the query.
type Request struct {
	ID             savorystep.RequestID
	Name           savorystep.Name
	Method         string
	Path           string
	Header         http.Header
	IdempotencyKey savorystep.IdempotencyKey
	// IsRepeat is true if the request may have been sent before with the same
	// idempotency key. A first attempt is marked as such in its headers.
	IsRepeat bool
	// Timeout limits all attempts together. If it is not positive, the client's default
	// is used.
	Timeout time.Duration
	// Body returns a new reader of the body for each attempt. It is nil for a request
	// without a body.
	Body func() io.Reader
	// BodyLength is the length of the body in bytes.
	BodyLength int64
}

// safeToRetry reports whether the request may be sent again when it is not known whether
// it has been executed: it has an idempotency key or its method is idempotent.
func (r *Request) safeToRetry() bool {
	if r.IdempotencyKey != "" {
		return true
	}
	switch r.Method {
	case http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut:
		return true
	default:
		return false
	}
}
