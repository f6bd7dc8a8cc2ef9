package http1_test

import (
	"testing"
)

// TestNoConnectionOfEarlierIncarnation guards against a request to an endpoint that has
// started again on a connection that was opened for its earlier incarnation, as another
// process may have.
func TestNoConnectionOfEarlierIncarnation(t *testing.T) {
	target, accepted := startEndpoint(t, func(c *serverConn) {
		for {
			id, err := c.readRequest()
			if err != nil {
				return
			}
			c.writeResponse(id, "body")
		}
	})
	pool := newPool()
	for start := range int64(2) {
		target.StartedAtMillis = start + 1
		for _, id := range []string{"1", "2"} {
			if _, err := pool.Exchange(t.Context(), target, newRequest(id)); err != nil {
				t.Fatalf("request %s to the incarnation started at %d: %v", id, target.StartedAtMillis, err)
			}
		}
	}
	if accepted.Load() != 2 {
		t.Errorf("endpoint accepted %d connections, want 2", accepted.Load())
	}
}
