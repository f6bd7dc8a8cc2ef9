package upstream

import (
	"errors"
	"io"

	"savorystep"
)

// A responseBody is the body of a response. Reading it fails if the response
// ends early, and its end ends the attempt.
type responseBody struct {
	pool    *Pool
	attempt *attempt
	body    io.ReadCloser
	ended   bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	a := b.attempt
	a.responseDueSince.Store(b.pool.base.now())
	n, err := b.body.Read(p)
	a.responseDueSince.Store(0)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.finish(verdictSuccess)
		return n, io.EOF
	}
	return n, b.fail(err)
}

// fail ends the attempt after a read error and returns the error for the
// reader.
func (b *responseBody) fail(cause error) error {
	a := b.attempt
	failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Err: cause}
	if b.ended {
		return savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "read of a response that has ended")
	}
	v := verdictFailed
	if a.closedByEndpoint(cause) {
		failure.EndpointCrashed = b.pool.confirmCrash(a, cause)
	} else if !a.connSilent.Load() {
		// The caller left or the deadline passed.
		v = verdictNeutral
	}
	b.finish(v)
	return savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "response ended early")
}

// Close ends the response. A response that was not read to its end is
// cancelled, except that of an at-most-once request: its rest is read and
// discarded in the background.
func (b *responseBody) Close() error {
	if b.ended {
		return b.body.Close()
	}
	if !b.attempt.atMostOnce {
		b.finish(verdictNeutral)
		return b.body.Close()
	}
	b.ended = true
	remainder := &responseBody{pool: b.pool, attempt: b.attempt, body: b.body}
	b.pool.background.Go(func() {
		defer func() { _ = remainder.body.Close() }()
		defer remainder.finish(verdictNeutral)
		_, _ = io.Copy(io.Discard, remainder)
	})
	return nil
}

// finish ends the attempt with a verdict on the endpoint.
func (b *responseBody) finish(v verdict) {
	b.ended = true
	b.pool.endAttempt(b.attempt, b.pool.clock.Now().Sub(b.attempt.startedAt), v)
}
