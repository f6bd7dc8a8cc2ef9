package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestShutdownSparesResponse guards against a response that is cut off because a shutdown
// that began while it was made closes the connection, which the next request crosses, before
// the caller has received the response.
func TestShutdownSparesResponse(t *testing.T) {
	const size = 512 << 10
	accepted := make(chan net.Conn, 1)
	s := startTestServer(t, 0, func(l net.Listener) net.Listener { return &acceptedListener{Listener: l, accepted: accepted} })
	entered, release := make(chan struct{}), make(chan struct{})
	s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	})
	c := s.dial(t)
	crossed := make(chan struct{})
	s.config.OnClose = func(CloseCause) {
		defer close(crossed)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err != nil {
			t.Error(err)
			return
		}
		conn := <-accepted
		_ = conn.SetReadDeadline(time.Time{})
		waitForArrival(t, conn)
	}
	c.send(t)
	<-entered
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(context.Background()) }()
	for !s.isClosing.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	<-crossed
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); n != size || err != nil {
		t.Errorf("read %d bytes, error %v, want %d bytes", n, err, size)
	}
	c.waitForEnd(t)
	if err := <-shutdownDone; err != nil {
		t.Errorf("Shutdown returned %v, want nil", err)
	}
}

// An acceptedListener sends the connections that it accepts to accepted.
type acceptedListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l *acceptedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}
