package http1_test

import (
	"io"
	"net/http"
	"testing"

	"savorystep/http1"
)

// TestTransportInvalidHead guards against a response that is cut off and taken for complete,
// because its length has a space before its colon, and against one of another protocol.
func TestTransportInvalidHead(t *testing.T) {
	for _, wire := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n9\r\npart",
		"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\npart",
		"HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\npart",
	} {
		t.Run(wire[:40], func(t *testing.T) {
			target, _ := startEndpoint(t, func(c *serverConn) {
				if _, err := http.ReadRequest(c.reader); err == nil {
					_, _ = io.WriteString(c, wire)
				}
			})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(target.Address), http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http1.Transport{RoundTripper: &http.Transport{}}.RoundTrip(request)
			if err == nil {
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				t.Errorf("status %d, body %q, error %v, want no response", response.StatusCode, body, err)
			}
		})
	}
}
