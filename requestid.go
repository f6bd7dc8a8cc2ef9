package savorystep

// A RequestID names one request of a caller.
type RequestID string
