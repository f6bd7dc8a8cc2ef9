package ingress_test

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// TestTruncatedRequests guards against forwarding a part of a request, or answering it
// with a success. The caller stops sending after each byte of the request but the last.
func TestTruncatedRequests(t *testing.T) {
	for _, test := range []struct{ name, wire string }{
		{name: "chunks", wire: "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{name: "length", wire: "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "no body", wire: "GET /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy, transport, _ := newTestProxy(t, "ok")
			_, address := startServer(t, proxy)
			for n := range len(test.wire) {
				c, reader := dial(t, address)
				if _, err := io.WriteString(c, test.wire[:n]); err != nil {
					t.Fatal(err)
				}
				if err := c.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				if response, err := http.ReadResponse(reader, nil); err == nil {
					_ = response.Body.Close()
					if response.StatusCode < http.StatusBadRequest {
						t.Errorf("status %d after %d of %d bytes, want an error", response.StatusCode, n, len(test.wire))
					}
				}
				_ = c.Close()
			}
			if sent := transport.requests(); len(sent) > 0 {
				t.Errorf("%d parts of the request reached an endpoint, want 0", len(sent))
			}
		})
	}
}
