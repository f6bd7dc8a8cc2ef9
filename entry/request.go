package entry

import (
	"io"
	"net/http"
	"time"

	"savorystep"
)

// A Request is a request to a service.
type Request struct {
	ID             savorystep.RequestID
	Name           savorystep.Name
	Method         string
	Path           string
	Header         http.Header
	IdempotencyKey savorystep.IdempotencyKey
	// IsRepeat is true if the request was sent before with the same key.
	IsRepeat bool
	Timeout  time.Duration
	// Body returns a new reader of the body for each attempt. It may be nil.
	Body func() io.Reader
	// BodyLength of the body in bytes.
	BodyLength int64
}

// repeatable reports whether the request may be sent again if it is not known
// whether it ran.
func (r *Request) repeatable() bool {
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
