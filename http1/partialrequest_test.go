package http1

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestPartOfPipelinedRequest guards against a connection that ends as idle although a part of
// its next request was read together with the one before.
func TestPartOfPipelinedRequest(t *testing.T) {
	for _, test := range []struct {
		name    string
		timeout time.Duration
		isStop  bool
	}{
		{name: "idle timeout", timeout: time.Nanosecond},
		{name: "shutdown", timeout: time.Hour, isStop: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startTestServer(t, test.timeout, nil)
			entered, release := make(chan struct{}), make(chan struct{})
			s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/block" {
					close(entered)
					<-release
				}
				w.WriteHeader(http.StatusOK)
			})
			c := s.dial(t)
			if _, err := io.WriteString(c, "GET /block HTTP/1.1\r\nHost: h\r\n\r\nGET / HT"); err != nil {
				t.Fatal(err)
			}
			<-entered
			owned := s.openConns()[0]
			shutdownDone := make(chan error, 1)
			if test.isStop {
				go func() { shutdownDone <- s.Shutdown(context.Background()) }()
				for !s.isClosing.Load() {
					time.Sleep(time.Millisecond)
				}
			} else {
				shutdownDone <- nil
			}
			close(release)
			c.receive(t)
			// The server has looked for the next request.
			for owned.isAnswered.Load() {
				time.Sleep(time.Millisecond)
			}
			if _, err := io.WriteString(c, "TP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if status, _ := c.receive(t); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			if err := <-shutdownDone; err != nil {
				t.Errorf("Shutdown returned %v, want nil", err)
			}
		})
	}
}
