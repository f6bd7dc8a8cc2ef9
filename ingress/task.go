package ingress

import (
	"time"

	"savorystep"
	"savorystep/http1"
)

// A task is a request of a caller on its way to an endpoint.
type task struct {
	http1.Request
	route   *savorystep.Route
	service savorystep.Service
	key     uint64
	// fingerprint is the same when the caller sends the request again.
	fingerprint savorystep.Fingerprint
	// began is when the request's header was read.
	began time.Time
	// deadline is when the caller leaves or the route's timeout ends, whichever
	// comes first.
	deadline time.Time
	// left is the time that the request had when it came.
	left time.Duration
	// revision is that of the routing that the request is served by.
	revision savorystep.Revision
	// arrivals counts the endpoints that the request may have reached.
	arrivals int
	// runs counts the endpoints that may have run the request.
	runs  int
	tried []savorystep.EndpointID
	// unknown is true if an endpoint may have run the request without answer.
	unknown bool
	// failed is the answer of an endpoint that failed, kept while another
	// endpoint is tried.
	failed *http1.Response
	// trail tells the steps of the request for the log.
	trail []string
}

// mayRunAgain reports whether another endpoint may run the request.
func (t *task) mayRunAgain() bool {
	if t.runs == 0 {
		return true
	}
	return t.route.Class.Idempotent() && t.runs < t.route.MaxAttempts
}

// setFailed keeps an endpoint's failure in place of an earlier one.
func (t *task) setFailed(response *http1.Response) {
	if t.failed != nil {
		t.failed.Release()
	}
	t.failed = response
}
