package ingress_test

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"savorystep/ingress"
)

// SyscallConn lets the server see whether the caller has closed the connection.
func (c *heldConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// waitForEnd waits until the other side has closed a connection of which all is read.
func waitForEnd(t *testing.T, c syscall.Conn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK) //nolint:gosec // Descriptors are small.
		return n == 0 && err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestRequestOfGoneCaller guards against GONE: an instance that is busy reads a request after
// its caller has closed the connection, and passes it on.
func TestRequestOfGoneCaller(t *testing.T) {
	proxy, transport, _ := newPatientProxy(t, "ok")
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &heldListener{Listener: inner, first: make(chan *heldConn, 1)}
	server := ingress.NewServer(proxy, listener)
	server.Serve()
	c, reader := dial(t, inner.Addr().String())
	roundTrip(t, c, reader, "/safe/first")
	held := <-listener.first
	held.isHeld.Store(true)
	if _, err := io.WriteString(c, "GET /safe/second HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-held.received
	// The caller may have closed only its sending side, and reads until the connection ends.
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	waitForEnd(t, held)
	close(held.release)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", response.StatusCode)
	}
	if sent := transport.requests(); len(sent) != 1 {
		t.Errorf("%d requests were passed on, want the first one only", len(sent))
	}
}
