package http1_test

import (
	"io"
	"testing"
)

// TestNoContentWithBody guards against a connection that is reused after a response that may
// have no body, but states one: the body would precede the response to the next request.
func TestNoContentWithBody(t *testing.T) {
	for _, test := range []struct{ name, framing, body string }{
		{name: "length", framing: "Content-Length: 3", body: "own"},
		{name: "chunks", framing: "Transfer-Encoding: chunked", body: "3\r\nown\r\n0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			target, accepted := startEndpoint(t, func(c *serverConn) {
				for late := ""; ; late = test.body {
					id, err := c.readRequest()
					if err != nil {
						return
					}
					if id == "2" {
						_, _ = io.WriteString(c, late)
						c.writeResponse(id, "body")
						continue
					}
					_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\nAttempt: "+id+"\r\n"+test.framing+"\r\n\r\n")
				}
			})
			pool := newPool()
			for _, id := range []string{"1", "2"} {
				response, err := pool.Exchange(t.Context(), target, newRequest(id))
				if err != nil {
					t.Fatalf("request %s: %v", id, err)
				}
				response.Release()
			}
			if accepted.Load() != 2 {
				t.Errorf("endpoint accepted %d connections, want 2", accepted.Load())
			}
		})
	}
}
