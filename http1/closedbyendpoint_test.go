package http1_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"savorystep/http1"
)

// TestClosedByEndpoint guards against an endpoint's crash that is taken for something
// else, and the reverse: only an exchange that the endpoint ended early counts.
func TestClosedByEndpoint(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	tests := []struct {
		name, sent string
		// waits is true if the endpoint leaves the connection open.
		waits, resets, isUpload bool
		want                    bool
	}{
		{name: "closed before the head", want: true},
		{name: "reset before the head", resets: true, want: true},
		{name: "closed in the status line", sent: "HTTP", want: true},
		{name: "closed in the head", sent: head, want: true},
		{name: "closed in a body with a length", sent: head + "Content-Length: 9\r\n\r\nhalf", want: true},
		{name: "reset in a body with a length", sent: head + "Content-Length: 9\r\n\r\nhalf", resets: true, want: true},
		{name: "closed in a chunk", sent: head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", want: true},
		{name: "closed before the last chunk", sent: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", want: true},
		{name: "reset in a body without a length", sent: head + "\r\nhalf", resets: true, want: true},
		{name: "reset during an upload", resets: true, isUpload: true, want: true},
		{name: "reset in a body during an upload", sent: head + "Content-Length: 9\r\n\r\nhalf", resets: true, isUpload: true, want: true},
		{name: "reset in a body without a length during an upload", sent: head + "\r\nhalf", resets: true, isUpload: true, want: true},
		{name: "bytes that are no response", sent: "no response\r\n\r\n", waits: true},
		{name: "chunk size that is no number", sent: head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", waits: true},
		{name: "response to another request", sent: "HTTP/1.1 200 OK\r\nAttempt: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", waits: true},
		{name: "no response before the deadline", waits: true},
		{name: "half a body before the deadline", sent: head + "Content-Length: 9\r\n\r\nhalf", waits: true},
		{name: "no response to an upload before the deadline", waits: true, isUpload: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, _ := startEndpoint(t, func(c *serverConn) {
				r, err := http.ReadRequest(c.reader)
				if err != nil {
					return
				}
				_, _ = c.Write([]byte(test.sent))
				time.Sleep(2 * time.Millisecond)
				if test.waits {
					<-t.Context().Done()
				}
				if test.resets {
					_ = c.Conn.(*net.TCPConn).SetLinger(0)
				}
				_ = r.Body.Close()
			})
			request := newRequest("1")
			if test.isUpload {
				request = newUpload("1")
			}
			var err error
			if test.waits {
				err = exchangeWithin(t, 300*time.Millisecond, target, request)
			} else {
				_, err = newPool().Exchange(t.Context(), target, request)
			}
			var exchangeErr *http1.ExchangeError
			if !errors.As(err, &exchangeErr) || exchangeErr.Stage != http1.StageSent {
				t.Fatalf("error %v, want an ExchangeError of a request that was sent", err)
			}
			if exchangeErr.ClosedByEndpoint != test.want {
				t.Errorf("ClosedByEndpoint is %t after %v, want %t", exchangeErr.ClosedByEndpoint, err, test.want)
			}
		})
	}
}
