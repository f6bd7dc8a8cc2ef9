package savorystep

// An AttemptID identifies one attempt to execute a request with an idempotency
// key.
type AttemptID string
