package savorystep

// A Name is the name under which a caller requests a service: the service's
// canonical name or one of its aliases, such as a known misspelling.
type Name string
