package http1_test

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"savorystep/http1"
)

// uploadBytes exceeds the socket buffers of the loopback device together.
const uploadBytes = 16 << 20

// newUpload returns a request whose body is written while the response is read.
func newUpload(id string) *http1.Request {
	request := newRequest(id)
	request.Method, request.HasBody, request.Body = http.MethodPost, true, bytes.Repeat([]byte("a"), uploadBytes)
	return request
}

// startUnframedEndpoint starts an endpoint that responds to uploads before it has read
// them, without a length, and then calls end.
func startUnframedEndpoint(t *testing.T, body string, end func(*serverConn)) func() (*http1.Response, error) {
	t.Helper()
	target, _ := startEndpoint(t, func(c *serverConn) {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\n%s", r.Header.Get("Attempt"), body)
		end(c)
	})
	pool := newPool()
	return func() (*http1.Response, error) { return pool.Exchange(t.Context(), target, newUpload("1")) }
}

// TestUnframedResponseReset guards against a truncated response that is returned as
// complete: the writer of the request body may take the error of the reset, after which
// the reader of the response gets an end of file.
func TestUnframedResponseReset(t *testing.T) {
	exchange := startUnframedEndpoint(t, "the first half", func(c *serverConn) {
		time.Sleep(2 * time.Millisecond)
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	})
	for n := range 100 {
		response, err := exchange()
		if err == nil {
			t.Fatalf("exchange %d: body %q of a response that was reset is returned as complete", n, response.Body)
		}
		var exchangeErr *http1.ExchangeError
		if !errors.As(err, &exchangeErr) || exchangeErr.Stage != http1.StageSent {
			t.Fatalf("exchange %d: error %v, want an ExchangeError of a request that was sent", n, err)
		}
	}
}

// TestUnframedResponseBeforeUploadEnds guards against rejecting the complete response of
// an endpoint that closes its side of the connection without reading the whole upload.
func TestUnframedResponseBeforeUploadEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(*serverConn)
	}{
		{name: "unread bytes remain", end: func(c *serverConn) {
			_ = c.Conn.(*net.TCPConn).CloseWrite()
			time.Sleep(5 * time.Millisecond)
		}},
		{name: "reset follows the end at once", end: func(c *serverConn) {
			_ = c.Conn.(*net.TCPConn).CloseWrite()
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			exchange := startUnframedEndpoint(t, "the whole response", test.end)
			for n := range 100 {
				response, err := exchange()
				if err != nil {
					t.Fatalf("exchange %d: %v", n, err)
				}
				if string(response.Body) != "the whole response" {
					t.Fatalf("exchange %d: body %q, want the whole response", n, response.Body)
				}
				response.Release()
			}
		})
	}
}
