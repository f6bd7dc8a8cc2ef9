package savorystep

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64
