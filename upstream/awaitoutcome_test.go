package upstream

import (
	"context"
	"testing"

	"savorystep"
)

// TestOutcomeAtDeadline guards against a response that is ready and thrown away, because
// the caller's deadline has passed as well when a process that stood still goes on.
func TestOutcomeAtDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	want := &savorystep.Response{Status: 200}
	dropped := 0
	for range 100 {
		result := make(chan outcome, 1)
		result <- outcome{response: want}
		if o, ok := awaitOutcome(ctx, result); !ok || o.response != want {
			dropped++
		}
	}
	if dropped > 0 {
		t.Errorf("%d of 100 responses thrown away, want none", dropped)
	}
	if _, ok := awaitOutcome(ctx, make(chan outcome)); ok {
		t.Error("outcome of an attempt without one after its deadline")
	}
}
