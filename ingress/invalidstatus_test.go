package ingress_test

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// TestInvalidStatusOfEndpoint guards against a response with a status that HTTP doesn't
// have, or that nothing asked for, which holds its request until the deadline, is handed on,
// or lets the caller have what follows on the connection.
func TestInvalidStatusOfEndpoint(t *testing.T) {
	const follower = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother"
	for _, status := range []string{"000 Nothing", "099 Less", "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade", "600 More"} {
		for _, test := range []struct {
			name, path string
			wantRuns   int64
		}{
			{name: " once", path: "/once/poison", wantRuns: 1},
			{name: " idempotent", path: "/safe/poison", wantRuns: 2},
		} {
			t.Run(status[:3]+test.name, func(t *testing.T) {
				var runs atomic.Int64
				dying := "HTTP/1.1 " + status + "\r\nSignature: s\r\nContent-Length: 0\r\n\r\n" + follower
				proxy := newMortalProxy(t, mortalEndpoint{dying: dying, survives: true, runs: &runs})
				if status := post(t, proxy, test.path, "body"); status != http.StatusBadGateway {
					t.Errorf("status %d, want 502", status)
				}
				if runs.Load() != test.wantRuns {
					t.Errorf("sent to %d endpoints, want %d", runs.Load(), test.wantRuns)
				}
				if status := post(t, proxy, "/once/other", "body"); status != http.StatusOK {
					t.Errorf("status %d for another request, want 200", status)
				}
			})
		}
	}
}
