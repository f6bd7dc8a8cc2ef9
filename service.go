package savorystep

// A Service is the canonical name of a service that upstreams run.
type Service string
