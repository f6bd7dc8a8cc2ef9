// Package http1 is an HTTP/1.1 client for endpoints with a connection pool, and a server
// that never closes a connection from which it has read a request without an answer. The
// error of a failed exchange states whether the request may have reached the
// endpoint. The transport of net/http does not report this, and it decides
// whether a retry is safe. Transport and DialWithBreaks bring its checks of responses
// to clients that use net/http.
//
// Lock order: no other lock is acquired while Pool.mu is held.
package http1
