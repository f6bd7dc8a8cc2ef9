package http1

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

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

// A blockedConn is a scriptedConn on which the write of a body blocks until a deadline is
// set, then reports the given number of bytes.
type blockedConn struct {
	scriptedConn
	deadlines chan time.Time
	written   int
	bodyErr   error
}

func (c *blockedConn) Write(p []byte) (int, error) {
	if len(p) <= maxInlineBodyBytes {
		return len(p), nil
	}
	<-c.deadlines
	return c.written, c.bodyErr
}

func (c *blockedConn) SetDeadline(deadline time.Time) error {
	c.deadlines <- deadline
	return nil
}

// TestReuseAfterBodyWrite guards against closing a connection whose endpoint has got the
// whole body, because the response was read before the write reported its end, and against
// reusing one whose endpoint still expects a part of the body.
func TestReuseAfterBodyWrite(t *testing.T) {
	const bodyBytes = maxInlineBodyBytes + 1
	tests := []struct {
		name       string
		written    int
		err        error
		isReusable bool
	}{
		{name: "written", written: bodyBytes, isReusable: true},
		{name: "cut", written: bodyBytes - 1, err: os.ErrDeadlineExceeded},
		{name: "not begun", err: os.ErrDeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
			request := &Request{Method: "POST", Target: "/", Host: "h", AttemptID: "1", HasBody: true, Body: make([]byte, bodyBytes)}
			wire := "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\nbody"
			opened := &blockedConn{
				scriptedConn: scriptedConn{Reader: strings.NewReader(wire)},
				deadlines:    make(chan time.Time, 2), written: test.written, bodyErr: test.err,
			}
			_, isReusable, err := newConn(opened).exchange(t.Context(), request, &config)
			if err != nil {
				t.Fatal(err)
			}
			if isReusable != test.isReusable {
				t.Errorf("reused %t, want %t", isReusable, test.isReusable)
			}
			isCleared := false
			select {
			case deadline := <-opened.deadlines:
				isCleared = deadline.IsZero()
			default:
			}
			if isReusable && !isCleared {
				t.Error("the reused connection keeps a deadline in the past")
			}
		})
	}
}
