package caller_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
)

// A heldConn is a caller's connection that delays what it has read. The next read of more
// than a byte after hold is set reports on received that it has bytes and waits for
// release. The server reads single bytes while a handler runs.
type heldConn struct {
	net.Conn
	hold              atomic.Bool
	received, release chan struct{}
	// acted is closed when the server closes the connection or moves its read deadline
	// during that read.
	acted     chan struct{}
	actedOnce sync.Once
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && len(p) > 1 && c.hold.CompareAndSwap(true, false) {
		close(c.received)
		<-c.release
	}
	return n, err
}

func (c *heldConn) SetReadDeadline(at time.Time) error {
	select {
	case <-c.received:
		c.actedOnce.Do(func() { close(c.acted) })
	default:
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *heldConn) Close() error {
	c.actedOnce.Do(func() { close(c.acted) })
	return c.Conn.Close()
}

// A heldListener accepts heldConns and sends them to accepted.
type heldListener struct {
	net.Listener
	accepted chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := &heldConn{Conn: c, received: make(chan struct{}), release: make(chan struct{}), acted: make(chan struct{})}
	l.accepted <- held
	return held, nil
}

// TestRequestReadAsDrainBegins guards against a drain that closes a kept connection without
// an answer to the request that has just been read from it.
func TestRequestReadAsDrainBegins(t *testing.T) {
	server := newServer(echo, nil)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	accepted := make(chan *heldConn, 1)
	done := server.Serve(ctx, &heldListener{Listener: listener, accepted: accepted})
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	send := func() {
		if _, err := io.WriteString(conn, "GET /s/status/x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	receive := func() {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no answer to a request: %v", err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("status %d, error %v, want 200", response.StatusCode, err)
		}
		_ = response.Body.Close()
	}
	send()
	held := <-accepted
	receive()
	held.hold.Store(true)
	send()
	<-held.received
	stop()
	<-held.acted
	close(held.release)
	receive()
	if err := <-done; err != nil {
		t.Errorf("Serve ended with %v, want nil", err)
	}
}

// TestRequestOutlastsDrain guards against a drain that cuts off the requests that last
// longer than its timeout.
func TestRequestOutlastsDrain(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := newServer(func(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
		close(entered)
		<-release
		return echo(ctx, request)
	}, nil)
	server.Limits.DrainTimeout = time.Millisecond
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := server.Serve(ctx, listener)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /s/status/x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-entered
	stop()
	if err := <-done; !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Serve ended with %v, want %v", err, context.DeadlineExceeded)
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer after the drain timeout: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", response.StatusCode)
	}
}
