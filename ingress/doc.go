// Package ingress serves callers over HTTP: it takes their requests, has them
// run by an endpoint and returns the endpoint's answer, and it says which
// instances callers may connect to.
//
// Lock order: Steering.mu is taken alone and never held during I/O.
package ingress
