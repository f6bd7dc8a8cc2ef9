package savorystep

// An IdempotencyKey is set by a caller on a non-idempotent request, so that sending
// the request again does not run it again. It is unique within a service.
type IdempotencyKey string
