package savorystep

// A Service is the canonical name of an upstream service.
type Service string
