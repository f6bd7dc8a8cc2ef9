package ingress

import (
	"time"

	"savorystep"
	"savorystep/http1"
)

// A proxiedRequest is a caller's request with the state of its attempts.
type proxiedRequest struct {
	http1.Request
	route   *savorystep.Route
	service savorystep.Service
	// affinityKey is a hash of the affinity header if there is one and the route is
	// sticky, or else of the attempt id.
	affinityKey uint64
	// fingerprint is the same when the caller sends the request again.
	fingerprint savorystep.Fingerprint
	// crashStreak is the number of crashes in a row that were known when the last attempt
	// was sent.
	crashStreak int
	// isProbe is true if the request is sent once although it is quarantined.
	isProbe bool
	// receivedAt is when the request's header had been read.
	receivedAt time.Time
	// deadline is the caller's deadline or the end of the route's timeout, whichever
	// is earlier.
	deadline time.Time
	// timeBudget is the time from receivedAt to deadline.
	timeBudget time.Duration
	// routing is the routing by which the request is forwarded.
	routing *savorystep.Routing
	// deliveries counts the attempts that had a connection to the endpoint. Once it
	// is positive, further attempts are retries and charge the retry budget.
	deliveries int
	// possibleRuns counts the endpoints that may have run the request.
	possibleRuns int
	// attemptedEndpoints are the endpoints of all attempts.
	attemptedEndpoints []savorystep.EndpointID
	// isOutcomeUnknown is true if an endpoint may have run the request but sent no
	// valid response.
	isOutcomeUnknown bool
	// failedResponse is the last response with a server error. The caller gets it if
	// no other attempt succeeds.
	failedResponse *http1.Response
	// steps describes the attempts for the log.
	steps []string
}

// mayRunAgain reports whether the request may be sent to another endpoint: it
// certainly did not run, or its route allows a further run.
func (pr *proxiedRequest) mayRunAgain() bool {
	if pr.possibleRuns == 0 {
		return true
	}
	return pr.route.Class.Idempotent() && pr.possibleRuns < pr.route.MaxAttempts
}

// setFailedResponse replaces failedResponse and releases the earlier one.
func (pr *proxiedRequest) setFailedResponse(response *http1.Response) {
	if pr.failedResponse != nil {
		pr.failedResponse.Release()
	}
	pr.failedResponse = response
}
