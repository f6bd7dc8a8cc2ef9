package http1

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"savorystep"
)

// An endingConn is a connection that calls end as it returns the response.
type endingConn struct {
	net.Conn
	response io.Reader
	end      func()
}

func (c *endingConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	c.end()
	return n, err
}

func (c *endingConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *endingConn) SetDeadline(time.Time) error { return nil }

// TestContextEndsWithResponse guards against a connection that is used again although the
// end of its last request is about to move its deadline, and against a complete response
// that is thrown away.
func TestContextEndsWithResponse(t *testing.T) {
	config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
	for _, test := range []struct {
		name           string
		endsContext    bool
		wantPersistent bool
	}{
		{name: "context ends", endsContext: true, wantPersistent: false},
		{name: "context stays", endsContext: false, wantPersistent: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := newConn(&endingConn{
				response: strings.NewReader("HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok"),
				end: func() {
					if test.endsContext {
						cancel()
					}
				},
			})
			response, isPersistent, err := c.exchange(ctx, &Request{Method: "GET", Target: "/", Host: "h", AttemptID: "1"}, &config)
			if err != nil || string(response.Body) != "ok" {
				t.Fatalf("response %v, error %v, want the body", response, err)
			}
			if isPersistent != test.wantPersistent {
				t.Errorf("connection can be used again: %v, want %v", isPersistent, test.wantPersistent)
			}
		})
	}
}
