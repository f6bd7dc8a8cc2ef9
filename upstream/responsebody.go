package upstream

import (
	"errors"
	"io"

	"savorystep"
)

// An answerBody is the body of an answer. It gives an error if the answer ends
// early, and ends the attempt with the body.
type responseBody struct {
	pool    *Pool
	attempt *attempt
	body    io.ReadCloser
	ended   bool
}

// Read reads from the body.
func (b *responseBody) Read(p []byte) (int, error) {
	a := b.attempt
	a.answerDueSince.Store(b.pool.base.now())
	n, err := b.body.Read(p)
	a.answerDueSince.Store(0)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.finish(verdictSuccess)
		return n, io.EOF
	}
	return n, b.fail(err)
}

// fail ends the attempt after a read error and returns the error to pass on.
func (b *responseBody) fail(cause error) error {
	a := b.attempt
	failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Err: cause}
	if b.ended {
		return savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "the answer has ended")
	}
	v := verdictFailed
	if closedByEndpoint(cause) {
		failure.EndpointDied = b.pool.confirmDeath(a, cause)
	} else if !a.connSilent.Load() {
		// The caller left or its deadline passed.
		v = verdictNeutral
	}
	b.finish(v)
	return savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "the answer ended early")
}

// Close ends the answer. An answer that was not read to its end is cancelled,
// unless the request may run at most once: the rest is then read and dropped
// in the background.
func (b *responseBody) Close() error {
	if b.ended {
		return b.body.Close()
	}
	if !b.attempt.atMostOnce {
		b.finish(verdictNeutral)
		return b.body.Close()
	}
	b.ended = true
	rest := &responseBody{pool: b.pool, attempt: b.attempt, body: b.body}
	b.pool.background.Go(func() {
		_, _ = io.Copy(io.Discard, rest)
		rest.finish(verdictNeutral)
		_ = rest.body.Close()
	})
	return nil
}

// finish ends the attempt.
func (b *responseBody) finish(v verdict) {
	b.ended = true
	b.pool.endAttempt(b.attempt, b.pool.clock.Now().Sub(b.attempt.startedAt), v)
}
