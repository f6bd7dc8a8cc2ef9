package http1

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestUnreadBodyEnds guards against callers that get no answer and keep their connection
// for ever, also during a shutdown, because a body that no handler reads does not arrive.
func TestUnreadBodyEnds(t *testing.T) {
	for _, test := range []struct{ name, head string }{
		{name: "length", head: "Content-Length: 10\r\n\r\nx"},
		{name: "chunks", head: "Transfer-Encoding: chunked\r\n\r\na\r\nx"},
		{name: "continue", head: "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startTestServer(t, time.Hour, nil)
			s.config.HeaderTimeout = 50 * time.Millisecond
			c := s.dial(t)
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+test.head); err != nil {
				t.Fatal(err)
			}
			if status, closes := c.receive(t); status != http.StatusOK || !closes {
				t.Errorf("status %d, close %v, want 200 and close", status, closes)
			}
			if err := s.Shutdown(context.Background()); err != nil {
				t.Errorf("Shutdown returned %v, want nil", err)
			}
			c.waitForEnd(t)
		})
	}
}

// TestReadBodyKeepsConnection guards against the deadline of an unread body on a
// connection whose body has been read.
func TestReadBodyKeepsConnection(t *testing.T) {
	s := startTestServer(t, 0, nil)
	s.config.HeaderTimeout = 50 * time.Millisecond
	callerErr := make(chan error, 1)
	s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		select {
		case <-r.Context().Done():
		case <-time.After(4 * s.config.HeaderTimeout):
		}
		callerErr <- r.Context().Err()
		w.WriteHeader(http.StatusOK)
	})
	c := s.dial(t)
	for range 2 {
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"); err != nil {
			t.Fatal(err)
		}
		if status, closes := c.receive(t); status != http.StatusOK || closes {
			t.Errorf("status %d, close %v, want 200 and no close", status, closes)
		}
		if err := <-callerErr; err != nil {
			t.Errorf("the caller counts as gone while its request is handled: %v", err)
		}
	}
}
