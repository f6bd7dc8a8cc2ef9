package savorystep

import (
	"net/http"
	"time"
)

// An EndpointNotice is what a response of an endpoint says about further requests.
type EndpointNotice struct {
	// IsLeaving is true if the endpoint shuts down and wants no more requests from
	// any instance.
	IsLeaving bool
	// RetryAfter is how long the endpoint wants no requests from the instance that got
	// the response, counted from the response on. It is zero unless the endpoint
	// rejected the request, and never negative.
	RetryAfter time.Duration
}

// A NoticeDecoder decodes notices.
type NoticeDecoder interface {
	// DecodeNotice returns the notice in a response. The error describes the values
	// that are not used as stated; the notice is valid nevertheless.
	DecodeNotice(status int, header http.Header) (EndpointNotice, error)
}
