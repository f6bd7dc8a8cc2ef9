package savorystep

import (
	"io"
	"net/http"
	"time"
)

// A Request is a caller's request that is forwarded to an upstream.
type Request struct {
	ID       RequestID
	Service  Service
	Record   *Record
	Revision Revision
	Method   string
	// Path is the path and query relative to the service.
	Path   string
	Header http.Header
	Body   io.Reader
	// BodyLength is the length of the body in bytes, -1 if it is unknown.
	BodyLength int64
	// IdempotencyKey is empty if the caller did not set one.
	IdempotencyKey IdempotencyKey
	// Fingerprint is the same for each repeat of the request by its caller.
	Fingerprint Fingerprint
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	Deadline   time.Time
	// Block identifies the block of clients that the caller belongs to.
	Block BlockID
	// Home is the region of the caller.
	Home Region
}
