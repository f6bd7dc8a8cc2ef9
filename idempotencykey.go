package savorystep

// An IdempotencyKey is the key that a caller gives a non-idempotent request so
// that sending it again does not run it again. It is scoped to a service.
type IdempotencyKey string
