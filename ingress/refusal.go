package ingress

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// A refusal is an answer of this instance's own.
type refusal struct {
	status int
	// after is when the caller should come back, zero if it says nothing.
	after  time.Duration
	reason string
}

const (
	// leastReturn and spreadReturn say when a refused caller comes back. Slots
	// free up within the service times of 0.2 to 0.8 s; the spread keeps those
	// who were refused together from returning together.
	leastReturn  = 200 * time.Millisecond
	spreadReturn = 400 * time.Millisecond
)

// refuse returns the refusal of a request that did not run.
func refuse(reason string) *refusal {
	after := leastReturn + rand.N(spreadReturn) //nolint:gosec // The spread needs no secrecy.
	return &refusal{status: http.StatusServiceUnavailable, after: after, reason: reason}
}

// write sends the refusal.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	if r.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.reason + "\n"))
}
