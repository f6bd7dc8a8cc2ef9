package http1

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A testServer is a Server with an idle timeout that can be changed. Its handler answers
// 200 and counts the requests.
type testServer struct {
	*Server
	address  string
	timeout  atomic.Int64
	changed  chan struct{}
	requests atomic.Int64
	closed   chan CloseCause
	done     <-chan error
}

// startTestServer starts a server. wrap may replace its listener.
func startTestServer(t *testing.T, timeout time.Duration, wrap func(net.Listener) net.Listener) *testServer {
	t.Helper()
	return startTestServerWith(t, timeout, wrap, nil)
}

// startTestServerWith is startTestServer for a server with TLS, unless tlsConfig is nil.
func startTestServerWith(t *testing.T, timeout time.Duration, wrap func(net.Listener) net.Listener, tlsConfig *tls.Config) *testServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: listener.Addr().String(), changed: make(chan struct{}, 1), closed: make(chan CloseCause, 2000)}
	s.timeout.Store(int64(timeout))
	s.Server = NewServer(ServerConfig{
		Handler:            http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { s.requests.Add(1); w.WriteHeader(http.StatusOK) }),
		HeaderTimeout:      time.Minute,
		TLS:                tlsConfig,
		IdleTimeout:        func() time.Duration { return time.Duration(s.timeout.Load()) },
		IdleTimeoutChanged: s.changed,
		MaxHeaderBytes:     1 << 10,
		OnClose:            func(cause CloseCause) { s.closed <- cause },
	})
	if wrap != nil {
		listener = wrap(listener)
	}
	s.done = s.Serve(listener)
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Errorf("Close returned %v, want nil", err)
		}
		if err := <-s.done; err != nil {
			t.Errorf("Serve ended with %v, want nil", err)
		}
	})
	return s
}

// setTimeout changes the idle timeout.
func (s *testServer) setTimeout(timeout time.Duration) {
	s.timeout.Store(int64(timeout))
	s.changed <- struct{}{}
}

// A testClient is a connection to a testServer.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &testClient{Conn: c, reader: bufio.NewReader(c)}
}

// send sends a request.
func (c *testClient) send(t *testing.T) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// receive reads a response. It returns the status and whether the response closes the
// connection.
func (c *testClient) receive(t *testing.T) (status int, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Close
}

// waitForEnd waits until the server closes the connection.
func (c *testClient) waitForEnd(t *testing.T) {
	t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		t.Fatalf("read byte %q, want the end of the connection", b)
	}
}

// waitUntilIdle waits until a number of the server's connections are idle.
func (s *testServer) waitUntilIdle(count int) {
	for {
		idle := 0
		for _, c := range s.openConns() {
			c.mu.Lock()
			if c.state == connIdle && c.isWaiting {
				idle++
			}
			c.mu.Unlock()
		}
		if idle == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// A heldConn is a connection that delays what it has read. The first read of more than a
// byte after hold is called reports on received that it has bytes and waits for release.
// The server reads single bytes while a handler runs.
type heldConn struct {
	net.Conn
	isHeld            atomic.Bool
	received, release chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && len(p) > 1 && c.isHeld.CompareAndSwap(true, false) {
		close(c.received)
		<-c.release
	}
	return n, err
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
	held := &heldConn{Conn: c, received: make(chan struct{}), release: make(chan struct{})}
	l.accepted <- held
	return held, nil
}

// TestShutdownDuringRead guards against LOST: a request that is read from a kept
// connection just as a shutdown begins is handled, and the connection closed without an
// answer.
func TestShutdownDuringRead(t *testing.T) {
	accepted := make(chan *heldConn, 1)
	s := startTestServer(t, 0, func(l net.Listener) net.Listener { return &heldListener{Listener: l, accepted: accepted} })
	c := s.dial(t)
	c.send(t)
	c.receive(t)
	held := <-accepted
	held.isHeld.Store(true)
	c.send(t)
	<-held.received
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(context.Background()) }()
	for !s.isClosing.Load() {
		time.Sleep(time.Millisecond)
	}
	s.updateDeadlines()
	close(held.release)
	if status, closes := c.receive(t); status != http.StatusOK || !closes {
		t.Errorf("status %d, close %v, want 200 and close", status, closes)
	}
	if err := <-shutdownDone; err != nil {
		t.Errorf("Shutdown returned %v, want nil", err)
	}
}

// A failingListener fails its first Accept calls with err.
type failingListener struct {
	net.Listener
	err   error
	count int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.count > 0 {
		l.count--
		return nil, l.err
	}
	return l.Listener.Accept()
}

// TestAcceptErrors guards against a server that ends, with all its connections, because a
// connection could not be accepted.
func TestAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EHOSTUNREACH, syscall.EPROTO, syscall.EMFILE} {
		t.Run(errno.Error(), func(t *testing.T) {
			s := startTestServer(t, time.Hour, func(l net.Listener) net.Listener {
				return &failingListener{Listener: l, count: 3, err: &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}}
			})
			c := s.dial(t)
			c.send(t)
			c.receive(t)
		})
	}
}

// TestIdleTimeoutChanges guards against connections that keep the idle timeout of the time
// at which they became idle: a lower one closes them, and a higher one keeps them open.
func TestIdleTimeoutChanges(t *testing.T) {
	recorder := &deadlineRecorder{}
	s := startTestServer(t, time.Hour, func(l net.Listener) net.Listener { recorder.Listener = l; return recorder })
	c := s.dial(t)
	c.send(t)
	c.receive(t)
	s.waitUntilIdle(1)
	s.setTimeout(time.Millisecond)
	c.waitForEnd(t)
	if cause := <-s.closed; cause != CloseIdle {
		t.Errorf("closed for %q, want %q", cause, CloseIdle)
	}

	s.setTimeout(time.Hour)
	raised := s.dial(t)
	raised.send(t)
	raised.receive(t)
	s.waitUntilIdle(1)
	before := time.Now()
	s.setTimeout(3 * time.Hour)
	for end := before.Add(2 * time.Hour); !recorder.lastDeadline().After(end); {
		time.Sleep(time.Millisecond)
	}
	raised.send(t)
	raised.receive(t)
}

// A deadlineRecorder is a listener that records the last read deadline that was set on any
// of its connections.
type deadlineRecorder struct {
	net.Listener
	last atomic.Pointer[time.Time]
}

func (r *deadlineRecorder) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordedConn{Conn: c, recorder: r}, nil
}

// lastDeadline returns the last deadline.
func (r *deadlineRecorder) lastDeadline() time.Time {
	if last := r.last.Load(); last != nil {
		return *last
	}
	return time.Time{}
}

// A recordedConn is a connection of a deadlineRecorder.
type recordedConn struct {
	net.Conn
	recorder *deadlineRecorder
}

func (c *recordedConn) SetReadDeadline(deadline time.Time) error {
	c.recorder.last.Store(&deadline)
	return c.Conn.SetReadDeadline(deadline)
}

// TestManyIdleConnections guards against idle connections that are not closed when many
// become idle at once, and against a shutdown that waits for idle connections.
func TestManyIdleConnections(t *testing.T) {
	const count = 400
	for _, test := range []struct {
		name  string
		cause CloseCause
		end   func(*testServer)
	}{
		{name: "timeout", cause: CloseIdle, end: func(s *testServer) { s.setTimeout(time.Millisecond) }},
		{name: "shutdown", cause: CloseShutdown, end: func(s *testServer) {
			if err := s.Shutdown(context.Background()); err != nil {
				t.Errorf("Shutdown returned %v, want nil", err)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startTestServer(t, time.Hour, nil)
			clients := make([]*testClient, count)
			for i := range clients {
				clients[i] = s.dial(t)
				clients[i].send(t)
				clients[i].receive(t)
			}
			s.waitUntilIdle(count)
			test.end(s)
			for _, c := range clients {
				c.waitForEnd(t)
				if cause := <-s.closed; cause != test.cause {
					t.Fatalf("closed for %q, want %q", cause, test.cause)
				}
			}
			for s.OpenConns() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestPipelinedRequestDuringShutdown guards against a shutdown that closes a connection
// whose next request has arrived while the one before it was handled.
func TestPipelinedRequestDuringShutdown(t *testing.T) {
	s := startTestServer(t, 0, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			close(entered)
			<-release
		}
		w.WriteHeader(http.StatusOK)
	})
	c := s.dial(t)
	if _, err := io.WriteString(c, "GET /block HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-entered
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(context.Background()) }()
	for !s.isClosing.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	c.receive(t)
	c.receive(t)
	c.waitForEnd(t)
	if err := <-shutdownDone; err != nil {
		t.Errorf("Shutdown returned %v, want nil", err)
	}
}

// TestIdleTimeoutOfPipelinedRequest guards against an idle timeout that passes while a
// pipelined request is handled, and makes its caller count as gone.
func TestIdleTimeoutOfPipelinedRequest(t *testing.T) {
	s := startTestServer(t, time.Millisecond, nil)
	entered, release, callerErr := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			close(entered)
			<-release
			callerErr <- r.Context().Err()
		}
		w.WriteHeader(http.StatusOK)
	})
	c := s.dial(t)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /block HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c.receive(t)
	<-entered
	for range 3 {
		witness := s.dial(t)
		witness.send(t)
		witness.receive(t)
		witness.waitForEnd(t)
	}
	close(release)
	if err := <-callerErr; err != nil {
		t.Errorf("the caller counts as gone while its request is handled: %v", err)
	}
	if status, _ := c.receive(t); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	c.waitForEnd(t)
}

// TestCrossingRequestStaysUnread guards against a close of an idle connection that reads
// and drops the request which crosses it. Its caller could not tell that it has not run, and
// would not send it again.
func TestCrossingRequestStaysUnread(t *testing.T) {
	s := startTestServer(t, time.Minute, nil)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &serverConn{Conn: accepted, server: s.Server}
	c.isAnswered.Store(true)
	c.becomeIdle(time.Now().Add(-time.Hour))
	if n, err := c.Read(make([]byte, 16)); n != 0 || err == nil {
		t.Fatalf("read %d bytes, error %v, want the end of the idle connection", n, err)
	}
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	if err := accepted.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	waitForArrival(t, accepted)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the caller reads %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestHijackedConnDoesNotLinger guards against a server that reads from a connection which a
// handler has taken over and returned from.
func TestHijackedConnDoesNotLinger(t *testing.T) {
	s := startTestServer(t, 0, nil)
	hijacked := make(chan net.Conn, 1)
	s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
		}
		hijacked <- c
	})
	c := s.dial(t)
	c.send(t)
	taken := <-hijacked
	for s.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
	if owned := serverConnOf(taken); owned.isAnswered.Load() {
		t.Error("the server counts a hijacked connection as answered, and reads from it when it is closed")
	}
	_ = taken.Close()
}

// TestArrivedRequestAfterIdleTimeout guards against a request that arrived in time on an
// idle connection and is closed unread, because the process stood still until the idle
// timeout had passed.
func TestArrivedRequestAfterIdleTimeout(t *testing.T) {
	s := startTestServer(t, time.Minute, nil)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	waitForArrival(t, accepted)
	c := &serverConn{Conn: accepted, server: s.Server, state: connIdle, since: time.Now().Add(-time.Hour)}
	buffer := make([]byte, 16)
	if n, err := c.Read(buffer); n != 3 || err != nil {
		t.Errorf("read %d bytes, error %v, want 3 bytes", n, err)
	}
	c.becomeIdle(time.Now().Add(-time.Hour))
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Errorf("read %d bytes, error %v without a request, want the end", n, err)
	}
}

// waitForArrival waits until a connection has bytes to read.
func waitForArrival(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK) //nolint:gosec // Descriptors are small.
		return n > 0
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestIdleTimeoutChangesBack guards against connections that are closed late or never,
// because they became idle while the timeout was another one for a moment.
func TestIdleTimeoutChangesBack(t *testing.T) {
	s := startTestServer(t, 50*time.Millisecond, nil)
	witness := s.dial(t)
	witness.send(t)
	witness.receive(t)
	witness.waitForEnd(t)
	s.timeout.Store(0)
	c := s.dial(t)
	c.send(t)
	c.receive(t)
	s.waitUntilIdle(1)
	s.setTimeout(50 * time.Millisecond)
	c.waitForEnd(t)
}

// A movedConn is a connection whose read deadline another goroutine moves to the past
// whenever it is removed.
type movedConn struct {
	*net.TCPConn
}

func (c movedConn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		deadline = time.Unix(1, 0)
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// TestArrivedRequestDuringUpdate guards against a request that arrived in time and is closed
// unread, because a shutdown or a change of the idle timeout moves the deadline of its
// connection while the server looks for the request.
func TestArrivedRequestDuringUpdate(t *testing.T) {
	s := startTestServer(t, time.Minute, nil)
	client, accepted := connect(t)
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	waitForArrival(t, accepted)
	c := &serverConn{Conn: movedConn{TCPConn: accepted}, server: s.Server, state: connIdle, since: time.Now().Add(-time.Hour)}
	if n, err := c.Read(make([]byte, 16)); n != 3 || err != nil {
		t.Errorf("read %d bytes, error %v, want 3 bytes", n, err)
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (client net.Conn, accepted *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err = listener.(*net.TCPListener).AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return client, accepted
}
