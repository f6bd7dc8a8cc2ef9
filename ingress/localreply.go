package ingress

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// A localReply is a response that this instance generates itself.
type localReply struct {
	status int
	// retryAfter is the value of the Retry-After header, zero for no header.
	retryAfter time.Duration
	reason     string
}

const (
	// minRetryAfter is the shortest Retry-After, and retryAfterJitter bounds the
	// random time that is added. Slots become free within the service times of 0.2
	// to 0.8 s. The jitter keeps callers that were rejected together from retrying
	// together.
	minRetryAfter    = 200 * time.Millisecond
	retryAfterJitter = 400 * time.Millisecond
	// retryAfterSpread is the random time that is added to a known wait, relative to
	// it. Callers that were rejected all along the wait return within half of it, no
	// faster than they would have arrived twice over.
	retryAfterSpread = 0.5
)

// reasonStopping is the reason of requests that are rejected during a shutdown.
const reasonStopping = "the request did not run, the instance stops"

// unavailable returns a 503 reply with a Retry-After header, which states that the
// request did not run.
func unavailable(reason string) *localReply {
	return unavailableFor(0, reason)
}

// unavailableFor is unavailable for a request that can't be served until a wait has
// passed.
func unavailableFor(wait time.Duration, reason string) *localReply {
	jitter := max(retryAfterJitter, time.Duration(retryAfterSpread*float64(wait)))
	after := max(minRetryAfter, wait) + rand.N(jitter) //nolint:gosec // The jitter need not be unpredictable.
	return &localReply{status: http.StatusServiceUnavailable, retryAfter: after, reason: reason}
}

// write sends the reply. It returns an error if the reply could not be written.
func (r *localReply) write(w http.ResponseWriter) error {
	header := w.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := []byte(r.reason + "\n")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.status)
	return writeBody(w, body)
}
