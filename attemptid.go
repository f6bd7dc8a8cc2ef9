package savorystep

// An AttemptID names one attempt at running a keyed request.
type AttemptID string
