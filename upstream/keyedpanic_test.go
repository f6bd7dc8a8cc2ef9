package upstream_test

import (
	"context"
	"testing"

	"savorystep"
	"savorystep/upstream"
)

// A panickingForwarder panics at each request.
type panickingForwarder struct{}

func (panickingForwarder) Forward(context.Context, *savorystep.Request) (*savorystep.Response, error) {
	panic("a fault of the forwarder")
}

// TestKeyedPanic guards against a process that ends because a request with an idempotency
// key panics, which leaves all its callers without an answer.
func TestKeyedPanic(t *testing.T) {
	rows := map[savorystep.IdempotencyKey]*fakeAttempt{}
	k := upstream.NewKeyedForwarder(panickingForwarder{}, upstream.KeyedForwarderConfig{Store: &fakeStore{rows: rows}})
	_, err := k.Forward(t.Context(), keyedPost("r1", "/x"))
	wantError(t, err, savorystep.KindInternal)
	_, err = k.Forward(t.Context(), keyedPost("r2", "/x"))
	wantError(t, err, savorystep.KindInProgress)
	k.Wait()
}
