package savorystep

// An IdempotencyKey is set by a caller on a non-idempotent request, so that sending
// the request again does not run it again. Keys of different services are
// independent of each other.
type IdempotencyKey string
