package http1

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// hangLimit bounds the wait for a shutdown that hangs.
const hangLimit = 20 * time.Second

// startTLSServer starts a server with TLS. It returns the TLS configuration of its clients.
func startTLSServer(t *testing.T, wrap func(net.Listener) net.Listener) (*testServer, *tls.Config) {
	t.Helper()
	example := httptest.NewTLSServer(nil)
	example.Close()
	s := startTestServerWith(t, time.Hour, wrap, example.TLS)
	roots := x509.NewCertPool()
	roots.AddCert(example.Certificate())
	return s, &tls.Config{RootCAs: roots, ServerName: "example.com", MinVersion: tls.VersionTLS12}
}

// waitForConn waits until the only connection of a server meets a condition.
func (s *testServer) waitForConn(isMet func(*serverConn) bool) *serverConn {
	for {
		for _, c := range s.openConns() {
			c.mu.Lock()
			ok := isMet(c)
			c.mu.Unlock()
			if ok {
				return c
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// hasUnread reports whether a connection has bytes that were not read.
func hasUnread(c *serverConn) bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // Descriptors are small.
	})
	return err == nil && n > 0
}

// acceptLongAgo makes a connection one on which nothing has arrived for longer than a
// shutdown waits.
func acceptLongAgo(c *serverConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now().Add(-time.Hour)
}

// TestShutdownEndsTLSConnWithoutRequest guards against a shutdown that waits for the timeout
// of a header because a connection has begun or ended the handshake of TLS, but has sent no
// request.
func TestShutdownEndsTLSConnWithoutRequest(t *testing.T) {
	for _, test := range []struct {
		name    string
		version uint16
		begin   func(t *testing.T, c net.Conn, config *tls.Config)
		isMet   func(*serverConn) bool
	}{
		{
			name:  "nothing sent",
			begin: func(*testing.T, net.Conn, *tls.Config) {},
			isMet: func(c *serverConn) bool { return c.isWaiting },
		},
		{
			name: "within the handshake",
			begin: func(t *testing.T, c net.Conn, _ *tls.Config) {
				t.Helper()
				if _, err := c.Write([]byte{22, 3, 1, 0, 200, 1}); err != nil {
					t.Fatal(err)
				}
			},
			isMet: func(c *serverConn) bool { return c.inHandshake && !hasUnread(c) },
		},
		{name: "after the handshake", version: tls.VersionTLS13, begin: shakeHands, isMet: func(c *serverConn) bool { return !c.inHandshake && !hasUnread(c) }},
		{name: "after the handshake of TLS 1.2", version: tls.VersionTLS12, begin: shakeHands, isMet: func(c *serverConn) bool { return !c.inHandshake && !hasUnread(c) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, config := startTLSServer(t, nil)
			config.MaxVersion = test.version
			client := s.dial(t)
			test.begin(t, client.Conn, config)
			acceptLongAgo(s.waitForConn(test.isMet))
			ctx, cancel := context.WithTimeout(t.Context(), hangLimit)
			defer cancel()
			if err := s.Shutdown(ctx); err != nil {
				t.Fatalf("Shutdown returned %v, want nil", err)
			}
			if cause := <-s.closed; cause != CloseShutdown {
				t.Errorf("closed for %q, want %q", cause, CloseShutdown)
			}
		})
	}
}

// shakeHands ends the handshake of a client.
func shakeHands(t *testing.T, c net.Conn, config *tls.Config) {
	t.Helper()
	if err := tls.Client(c, config).HandshakeContext(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// TestShutdownDuringTLSRead guards against a request that is dropped because a shutdown ends
// its connection, on which nothing but the handshake of TLS has been read.
func TestShutdownDuringTLSRead(t *testing.T) {
	accepted := make(chan *heldConn, 1)
	s, config := startTLSServer(t, func(l net.Listener) net.Listener { return &heldListener{Listener: l, accepted: accepted} })
	config.MaxVersion = tls.VersionTLS12
	client := s.dial(t)
	secure := tls.Client(client.Conn, config)
	if err := secure.HandshakeContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	acceptLongAgo(s.waitForConn(func(c *serverConn) bool { return !c.inHandshake }))
	held := <-accepted
	held.isHeld.Store(true)
	if _, err := io.WriteString(secure, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-held.received
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(context.Background()) }()
	for !s.isClosing.Load() {
		time.Sleep(time.Millisecond)
	}
	s.updateDeadlines()
	close(held.release)
	response, err := http.ReadResponse(bufio.NewReader(secure), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("status %d, close %t, want 200 and close", response.StatusCode, response.Close)
	}
	_ = secure.Close()
	if err := <-shutdownDone; err != nil {
		t.Errorf("Shutdown returned %v, want nil", err)
	}
}
