package ingress

import (
	"time"

	"savorystep"
	"savorystep/http1"
)

// A proxiedRequest is a request of a caller on its way to an endpoint.
type proxiedRequest struct {
	http1.Request
	route       *savorystep.Route
	service     savorystep.Service
	affinityKey uint64
	// fingerprint is the same when the caller sends the request again.
	fingerprint savorystep.Fingerprint
	// receivedAt is when the request's header was read.
	receivedAt time.Time
	// deadline is when the caller leaves or the route's timeout ends, whichever
	// comes first.
	deadline time.Time
	// timeBudget is the time that the request had when it came.
	timeBudget time.Duration
	// revision is that of the routing that the request is served by.
	revision savorystep.Revision
	// deliveries counts the endpoints that the request may have reached.
	deliveries int
	// possibleRuns counts the endpoints that may have run the request.
	possibleRuns       int
	attemptedEndpoints []savorystep.EndpointID
	// isOutcomeUnknown is true if an endpoint may have run the request without answer.
	isOutcomeUnknown bool
	// failedResponse is the answer of an endpoint that failedResponse, kept while another
	// endpoint is tried.
	failedResponse *http1.Response
	// steps tells the steps of the request for the log.
	steps []string
}

// mayRunAgain reports whether another endpoint may run the request.
func (t *proxiedRequest) mayRunAgain() bool {
	if t.possibleRuns == 0 {
		return true
	}
	return t.route.Class.Idempotent() && t.possibleRuns < t.route.MaxAttempts
}

// setFailedResponse keeps an endpoint's failure in place of an earlier one.
func (t *proxiedRequest) setFailedResponse(response *http1.Response) {
	if t.failedResponse != nil {
		t.failedResponse.Release()
	}
	t.failedResponse = response
}
