package http1

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"savorystep"
)

// A failingConn is a scriptedConn on which the write of a body fails.
type failingConn struct {
	scriptedConn
	bodyErr error
}

func (c *failingConn) Write(p []byte) (int, error) {
	if len(p) > maxInlineBodyBytes {
		return 0, c.bodyErr
	}
	return len(p), nil
}

// TestResponseAfterFailedBodyWrite guards against a truncated response that is taken for
// complete because the write of the request body took the error of the connection, and
// against rejecting a complete one because the endpoint did not read the body.
func TestResponseAfterFailedBodyWrite(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n\r\nbody"
		framed   = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\nbody"
		chunked  = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	)
	tests := []struct {
		name, wire string
		err        error
		isComplete bool
	}{
		{name: "reset", wire: unframed, err: syscall.ECONNRESET},
		{name: "not acknowledged in time", wire: unframed, err: syscall.ETIMEDOUT},
		{name: "network unreachable", wire: unframed, err: syscall.ENETUNREACH},
		{name: "endpoint closed its side before", wire: unframed, err: syscall.EPIPE, isComplete: true},
		{name: "still being written", wire: unframed, err: os.ErrDeadlineExceeded, isComplete: true},
		{name: "reset after a response with a length", wire: framed, err: syscall.ECONNRESET, isComplete: true},
		{name: "reset after a chunked response", wire: chunked, err: syscall.ECONNRESET, isComplete: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
			request := &Request{Method: "POST", Target: "/", Host: "h", AttemptID: "1", HasBody: true, Body: make([]byte, maxInlineBodyBytes+1)}
			c := newConn(&failingConn{scriptedConn: scriptedConn{Reader: strings.NewReader(test.wire)}, bodyErr: &net.OpError{Op: "write", Err: test.err}})
			response, isReusable, err := c.exchange(t.Context(), request, &config)
			if (err == nil) != test.isComplete || isReusable {
				t.Fatalf("response %+v, error %v, reused %t, want complete %t on a connection that is not reused", response, err, isReusable, test.isComplete)
			}
			if err != nil && !errors.Is(err, test.err) {
				t.Errorf("error %v, want %v", err, test.err)
			}
			if usedBytes := config.ResponseBudget.UsedBytes(); err != nil && usedBytes != 0 {
				t.Errorf("%d bytes of the budget are in use after the exchange, want 0", usedBytes)
			}
		})
	}
}
