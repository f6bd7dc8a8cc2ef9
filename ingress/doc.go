// Package ingress is the HTTP proxy for callers. It forwards each request to an
// endpoint of the service that its route selects, retries on other endpoints
// where that is safe, and returns the endpoint's response. It also answers
// lookups of the instances that callers can connect to.
//
// Lock order: no other lock is acquired and no I/O is done while Router.mu is
// held.
package ingress
