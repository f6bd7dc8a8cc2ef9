package caller_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
)

// A deadlineRecorder counts the read deadlines set on a caller's connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder

	deadlines atomic.Int32
}

func (d *deadlineRecorder) SetReadDeadline(time.Time) error {
	d.deadlines.Add(1)
	return nil
}

func (d *deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// TestLateBodyReadKeepsDeadline guards against an upload that is still read after its
// response and replaces the deadline of the idle connection, which then never ends.
func TestLateBodyReadKeepsDeadline(t *testing.T) {
	var upload io.Reader
	server := newServer(func(_ context.Context, request *savorystep.Request) (*savorystep.Response, error) {
		upload = request.Body
		return &savorystep.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	}, nil)
	server.Limits.MaxBodyBytes = 1 << 20
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/s/status/x", strings.NewReader(strings.Repeat("x", 1<<16)))
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	server.Handler().ServeHTTP(w, request)
	if w.Code != http.StatusOK || upload == nil {
		t.Fatalf("status %d, upload %v, want status %d and an upload", w.Code, upload, http.StatusOK)
	}
	before := w.deadlines.Load()
	if _, err := io.Copy(io.Discard, upload); !errors.Is(err, http.ErrBodyReadAfterClose) {
		t.Errorf("read of the upload after the response: %v, want %v", err, http.ErrBodyReadAfterClose)
	}
	if after := w.deadlines.Load(); after != before {
		t.Errorf("%d read deadlines set after the response, want none", after-before)
	}
}

// TestStalledBodyEndsConnection guards against connections that are never closed because
// their caller stopped in the middle of a body.
func TestStalledBodyEndsConnection(t *testing.T) {
	server := newServer(echo, nil)
	server.Limits.StallTimeout = 50 * time.Millisecond
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
	if _, err := io.WriteString(c, "PUT /s/status/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d, want 400", response.StatusCode)
	}
	if b, err := reader.ReadByte(); err == nil {
		t.Errorf("read byte %q, want the end of the connection", b)
	}
}
