package upstream

import (
	"errors"
	"io"

	"savorystep"
)

// An answerBody is the body of an answer. It gives an error if the answer ends
// early, and ends the attempt with the body.
type answerBody struct {
	pool    *Pool
	attempt *attempt
	body    io.ReadCloser
	ended   bool
}

// Read reads from the body.
func (b *answerBody) Read(p []byte) (int, error) {
	a := b.attempt
	a.waiting.Store(b.pool.base.now())
	n, err := b.body.Read(p)
	a.waiting.Store(0)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.finish(verdictGood)
		return n, io.EOF
	}
	return n, b.fail(err)
}

// fail ends the attempt after a read error and returns the error to pass on.
func (b *answerBody) fail(cause error) error {
	a := b.attempt
	failure := &AttemptError{Endpoint: a.lease.info.ID, Sent: true, Err: cause}
	if b.ended {
		return savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "the answer has ended")
	}
	v := verdictFailed
	if closedByPeer(cause) {
		failure.EndpointDied = b.pool.checkDeath(a, cause)
	} else if !a.silent.Load() {
		// The caller left or its deadline passed.
		v = verdictNone
	}
	b.finish(v)
	return savorystep.WrapError(savorystep.KindUpstreamFailed, failure, "the answer ended early")
}

// Close ends the answer. An answer that was not read to its end is cancelled,
// unless the request may run at most once: the rest is then read and dropped
// in the background.
func (b *answerBody) Close() error {
	if b.ended {
		return b.body.Close()
	}
	if !b.attempt.once {
		b.finish(verdictNone)
		return b.body.Close()
	}
	b.ended = true
	rest := &answerBody{pool: b.pool, attempt: b.attempt, body: b.body}
	b.pool.background.Go(func() {
		_, _ = io.Copy(io.Discard, rest)
		rest.finish(verdictNone)
		_ = rest.body.Close()
	})
	return nil
}

// finish ends the attempt.
func (b *answerBody) finish(v verdict) {
	b.ended = true
	b.pool.end(b.attempt, b.pool.clock.Now().Sub(b.attempt.began), v)
}
