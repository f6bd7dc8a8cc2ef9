package ingress

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// A localReply is an answer of this instance's own.
type localReply struct {
	status int
	// retryAfter is when the caller should come back, zero if it says nothing.
	retryAfter time.Duration
	reason     string
}

const (
	// minRetryAfter and spreadReturn say when a refused caller comes back. Slots
	// free up within the service times of 0.2 to 0.8 s; the spread keeps those
	// who were refused together from returning together.
	minRetryAfter    = 200 * time.Millisecond
	retryAfterJitter = 400 * time.Millisecond
)

// unavailable returns the refusal of a request that did not run.
func unavailable(reason string) *localReply {
	after := minRetryAfter + rand.N(retryAfterJitter) //nolint:gosec // The spread needs no secrecy.
	return &localReply{status: http.StatusServiceUnavailable, retryAfter: after, reason: reason}
}

// write sends the refusal.
func (r *localReply) write(w http.ResponseWriter) {
	header := w.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.reason + "\n"))
}
