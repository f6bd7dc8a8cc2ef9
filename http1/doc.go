// Package http1 speaks HTTP/1.1 to endpoints over pooled connections. Each
// exchange says whether the request can have reached the endpoint, which
// net/http's transport does not tell and which decides on repeats.
//
// Lock order: Pool.mu is taken alone.
package http1
