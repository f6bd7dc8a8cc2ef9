package savorystep

import (
	"io"
	"net/http"
	"time"
)

// A Request is a request of a caller on its way to an upstream.
type Request struct {
	ID       RequestID
	Service  Service
	Record   *Record
	Revision Revision
	Method   string
	// Path is the path and query below the service.
	Path   string
	Header http.Header
	Body   io.Reader
	// BodyLength of the body in bytes, -1 if it is not known.
	BodyLength     int64
	IdempotencyKey IdempotencyKey
	// Fingerprint is the same when the caller sends the request again.
	Fingerprint Fingerprint
	// Idempotent is true if running the request twice does no harm.
	Idempotent bool
	Deadline   time.Time
	// Block is the block of clients that the caller belongs to.
	Block BlockID
	// Home is the region of the caller.
	Home Region
}
