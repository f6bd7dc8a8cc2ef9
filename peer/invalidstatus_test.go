package peer_test

import (
	"net/http"
	"testing"
	"time"
)

// TestRelayInvalidStatus guards against a follower that waits for a reader beyond all
// timeouts and doesn't fall back to the store, because the body of a response with status
// 101 is a connection which no context ends.
func TestRelayInvalidStatus(t *testing.T) {
	const hangLimit = 20 * time.Second
	for _, status := range []string{"000 Nothing", "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade", "600 More"} {
		t.Run(status[:3], func(t *testing.T) {
			r := newRelayPair(t)
			r.readAll(t)
			r.serveReader(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
			}))
			result := make(chan error, 1)
			go func() {
				_, err := r.follower.EndpointChanges(t.Context(), 5, 0)
				result <- err
			}()
			select {
			case err := <-result:
				if err != nil || r.catalog.reads != 1 {
					t.Errorf("error %v after %d reads of the store, want a result after 1", err, r.catalog.reads)
				}
			case <-time.After(hangLimit):
				t.Fatalf("the read has no result after %v", hangLimit)
			}
		})
	}
}
