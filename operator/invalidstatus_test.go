package operator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"savorystep/operator"
)

// TestClientInvalidStatus guards against a command that waits beyond its timeout, because
// the body of a response with status 101 is a connection which no context ends.
func TestClientInvalidStatus(t *testing.T) {
	const hangLimit = 20 * time.Second
	for _, status := range []string{"000 Nothing", "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade", "600 More"} {
		t.Run(status[:3], func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
			}))
			t.Cleanup(server.Close)
			client := operator.NewClient(operator.ClientConfig{Servers: []string{server.URL}, Token: "t", AttemptTimeout: 500 * time.Millisecond})
			result := make(chan error, 1)
			go func() {
				_, err := client.Records(t.Context())
				result <- err
			}()
			select {
			case err := <-result:
				if err == nil {
					t.Error("the command succeeded, want an error")
				}
			case <-time.After(hangLimit):
				t.Fatalf("the command has no result after %v", hangLimit)
			}
		})
	}
}
