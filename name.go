package savorystep

// A Name is what a caller sends for a service: the service's own name or one
// of its known misspellings.
type Name string
