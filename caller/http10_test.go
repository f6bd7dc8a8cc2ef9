package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"savorystep"
)

// TestServerTruncatedResponseHTTP10 guards against a truncated response that a caller of
// HTTP/1.0 takes for a complete one: it knows no chunks, so that a response without a length
// ends with its connection.
func TestServerTruncatedResponseHTTP10(t *testing.T) {
	for _, test := range []struct {
		name       string
		body       io.ReadCloser
		isComplete bool
	}{
		{name: "complete", body: io.NopCloser(strings.NewReader("whole")), isComplete: true},
		{name: "ended early", body: brokenBody{Reader: strings.NewReader("part")}},
		{name: "panic", body: panickingBody{Reader: strings.NewReader("part")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			response, err := readHTTP10(t, test.body)
			if (err == nil) != test.isComplete {
				t.Errorf("response %q, error %v, want complete %t", response, err, test.isComplete)
			}
		})
	}
}

// readHTTP10 returns what a caller of HTTP/1.0 reads from a server whose upstream sends a
// body without a length.
func readHTTP10(t *testing.T, body io.ReadCloser) ([]byte, error) {
	t.Helper()
	server := newServer(func(context.Context, *savorystep.Request) (*savorystep.Response, error) {
		return &savorystep.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, BodyLength: -1}, nil
	}, nil)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := server.Serve(ctx, listener)
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprint(c, "GET /s/status/x HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return io.ReadAll(c)
}
