package savorystep

// A RequestID identifies a request of a caller.
type RequestID string
