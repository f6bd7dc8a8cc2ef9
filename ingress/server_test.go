package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/http1"
	"savorystep/ingress"
)

// startServer serves a proxy and returns the server and its address.
func startServer(t *testing.T, proxy *ingress.Proxy) (*ingress.Server, string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := ingress.NewServer(proxy, listener)
	server.Serve()
	return server, listener.Addr().String()
}

// A responseSummary is the part of a response that the tests check.
type responseSummary struct {
	status int
	// closes is true if the response has the header Connection: close.
	closes bool
}

// roundTrip sends a request on a connection and returns the response.
func roundTrip(t *testing.T, c net.Conn, reader *bufio.Reader, path string) responseSummary {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("read response to %s: %v", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return responseSummary{status: response.StatusCode, closes: response.Close}
}

// dial opens a connection and returns it with a buffered reader.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// TestShutdownFinishesRequests guards against a graceful shutdown that aborts
// requests: a request in flight completes, and during the first half of the
// timeout requests on new and open connections are served with Connection: close.
func TestShutdownFinishesRequests(t *testing.T) {
	proxy, transport, _ := newTestProxy(t, "ok", "block", "ok")
	server, address := startServer(t, proxy)
	idle, idleReader := dial(t, address)
	roundTrip(t, idle, idleReader, "/once/1")
	busy, busyReader := dial(t, address)
	responses := make(chan responseSummary, 1)
	go func() { responses <- roundTrip(t, busy, busyReader, "/once/2") }()
	for len(transport.requests()) < 2 {
		time.Sleep(time.Millisecond)
	}
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		server.Shutdown(context.Background(), 4*time.Second)
	}()
	// Requests are served during the first half of the timeout, 2 s.
	var last responseSummary
	for !last.closes {
		c, reader := dial(t, address)
		last = roundTrip(t, c, reader, "/once/3")
	}
	if last.status != http.StatusOK {
		t.Errorf("status %d on a new connection while draining, want 200", last.status)
	}
	if response := roundTrip(t, idle, idleReader, "/once/4"); response.status != http.StatusOK {
		t.Errorf("status %d on an open connection while draining, want 200", response.status)
	}
	select {
	case <-shutdownDone:
		t.Fatal("shutdown returned while a request was in flight")
	case <-time.After(2500 * time.Millisecond):
	}
	close(transport.block)
	if response := <-responses; response.status != http.StatusOK {
		t.Errorf("status %d for the request in flight, want 200", response.status)
	}
	<-shutdownDone
}

// TestUnboundedRequestHead guards against callers that exhaust the memory with a
// request head that never ends. It must be rejected at the limit, and the
// connection closed.
func TestUnboundedRequestHead(t *testing.T) {
	for _, test := range []struct{ name, once, repeated string }{
		{name: "header line", once: "GET /safe/x HTTP/1.1\r\nHost: h\r\nA: ", repeated: "xxxxxxxxxxxxxxxx"},
		{name: "header lines", once: "GET /safe/x HTTP/1.1\r\nHost: h\r\n", repeated: "A: b\r\n"},
		{name: "request line", once: "GET /", repeated: "xxxxxxxxxxxxxxxx"},
	} {
		t.Run(test.name, func(t *testing.T) {
			proxy, transport, _ := newTestProxy(t, "ok")
			_, address := startServer(t, proxy)
			c, reader := dial(t, address)
			go func() {
				_, err := c.Write([]byte(test.once))
				repeated := []byte(strings.Repeat(test.repeated, 256))
				for err == nil {
					_, err = c.Write(repeated)
				}
			}()
			response, err := http.ReadResponse(reader, nil)
			// The response may be lost, because closing a connection with unread
			// bytes resets it.
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
					t.Errorf("status %d, want 431", response.StatusCode)
				}
			}
			if sent := transport.requests(); len(sent) > 0 {
				t.Errorf("%d requests reached an endpoint, want 0", len(sent))
			}
		})
	}
}

// A blockedListener accepts connections whose writes block until release is closed.
type blockedListener struct {
	net.Listener
	release chan struct{}
}

func (l *blockedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blockedConn{Conn: c, release: l.release}, nil
}

// A blockedConn is a connection whose writes block until release is closed.
type blockedConn struct {
	net.Conn
	release chan struct{}
}

func (c *blockedConn) Write(p []byte) (int, error) {
	<-c.release
	return c.Conn.Write(p)
}

// TestShutdownWritesResponses guards against a shutdown that truncates a response
// whose handler has returned but which is not written to the connection yet.
func TestShutdownWritesResponses(t *testing.T) {
	proxy, _, _ := newTestProxy(t, "ok")
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &blockedListener{Listener: inner, release: make(chan struct{})}
	server := ingress.NewServer(proxy, listener)
	server.Serve()
	c, reader := dial(t, inner.Addr().String())
	if _, err := io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		server.Shutdown(context.Background(), 6*time.Second)
	}()
	for {
		other, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		if err != nil {
			break
		}
		_ = other.Close()
		time.Sleep(5 * time.Millisecond)
	}
	// The listener is closed, and the only request is waiting to be written.
	time.Sleep(100 * time.Millisecond)
	close(listener.release)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "body" {
		t.Errorf("body %q, error %v, want %q", body, err, "body")
	}
	<-shutdownDone
}

// TestSlowBodyTimesOut guards against callers that hold memory indefinitely with
// bodies that do not arrive. Such a request must time out at its deadline without
// being forwarded.
func TestSlowBodyTimesOut(t *testing.T) {
	proxy, transport, _ := newTestProxy(t, "ok")
	_, address := startServer(t, proxy)
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\nDeadline: 100\r\nContent-Length: 10\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestTimeout || !response.Close || len(transport.requests()) > 0 {
		t.Errorf("status %d, close %v, %d attempts, want status 408, close and no attempt", response.StatusCode, response.Close, len(transport.requests()))
	}
}

// A largeTransport returns responses with a body that exceeds any socket buffer.
type largeTransport struct{}

func (largeTransport) Exchange(context.Context, savorystep.Endpoint, *http1.Request) (*http1.Response, error) {
	return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}, Body: make([]byte, 64<<20)}, nil
}

// TestUnreadResponseTimesOut guards against callers that hold memory indefinitely
// with responses that they do not read.
func TestUnreadResponseTimesOut(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		ResponseWriteTimeout: 50 * time.Millisecond, Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router),
		Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: largeTransport{}, Router: router,
	})
	_, address := startServer(t, proxy)
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The first byte shows that the response is being written.
	if _, err := reader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	for proxy.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("H"), reader)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Errorf("truncated body of %d bytes was read without an error", n)
	}
}

// TestHalfClosedConnection guards against an empty 200 for a caller that closes its
// sending side of the connection and still waits for the response. net/http
// cancels the request of such a caller as if it had disconnected.
func TestHalfClosedConnection(t *testing.T) {
	proxy, transport, _ := newTestProxy(t, "silent")
	_, address := startServer(t, proxy)
	c, reader := dial(t, address)
	if _, err := io.WriteString(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\nDeadline: 60000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for len(transport.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusInternalServerError || response.StatusCode == http.StatusServiceUnavailable {
		t.Errorf("status %d for a request that may have run, want an error other than 503", response.StatusCode)
	}
}
