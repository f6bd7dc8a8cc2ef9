package entry_test

import (
	"net/http"
	"testing"
	"time"

	"savorystep"
	"savorystep/entry"
)

// TestClientInvalidStatus guards against a lookup or a request that waits beyond its
// timeout, because the body of a response with status 101 is a connection which no context
// ends, and against a status that HTTP doesn't have as the result of a request.
func TestClientInvalidStatus(t *testing.T) {
	const hangLimit = 20 * time.Second
	for _, status := range []string{"000 Nothing", "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade", "600 More"} {
		for _, path := range []string{"/v1/lookup", "/s/status"} {
			t.Run(status[:3]+path, func(t *testing.T) {
				alive := newFakeEntry(t)
				alive.firstEntries = []savorystep.Entry{{ID: "alive", Address: alive.address()}}
				served := alive.Config.Handler
				alive.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != path && r.URL.Path != path+"/" {
						served.ServeHTTP(w, r)
						return
					}
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					t.Cleanup(func() { _ = conn.Close() })
					_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
				})
				client := entry.NewClient(entry.ClientConfig{Clock: savorystep.SystemClock{}, SeedAddresses: []savorystep.Address{alive.address()}, MaxAttempts: 1})
				defer client.Close()
				result := make(chan error, 1)
				go func() {
					_, err := client.Send(t.Context(), entry.Request{ID: "request", Name: "status", Method: http.MethodGet, Path: "/", Timeout: 500 * time.Millisecond})
					result <- err
				}()
				select {
				case err := <-result:
					if err == nil {
						t.Error("the request succeeded, want an error")
					}
				case <-time.After(hangLimit):
					t.Fatalf("the request has no result after %v", hangLimit)
				}
			})
		}
	}
}
