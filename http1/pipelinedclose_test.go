package http1

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// TestPipelinedRequestSparesResponse guards against a response that is cut off because the
// server closes the connection while the next request is unread.
func TestPipelinedRequestSparesResponse(t *testing.T) {
	const size = 512 << 10
	ended := make(chan struct{})
	s := startTestServer(t, 0, func(l net.Listener) net.Listener { return &closeListener{Listener: l, ended: ended} })
	entered, release := make(chan struct{}), make(chan struct{})
	s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		close(entered)
		<-release
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	})
	c := s.dial(t)
	c.send(t)
	<-entered
	c.send(t)
	close(release)
	<-ended
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); n != size || err != nil {
		t.Errorf("read %d bytes, error %v, want %d bytes", n, err, size)
	}
	c.waitForEnd(t)
}

// TestAbortedResponseIsNotEnded guards against a response that its handler aborted and that
// looks complete to a caller without chunks, because the server ends its side first.
func TestAbortedResponseIsNotEnded(t *testing.T) {
	ended := make(chan struct{})
	s := startTestServer(t, 0, func(l net.Listener) net.Listener { return &closeListener{Listener: l, ended: ended} })
	entered, release := make(chan struct{}), make(chan struct{})
	s.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = w.Write(make([]byte, 1<<10))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	c := s.dial(t)
	if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-entered
	c.send(t)
	close(release)
	<-ended
	if _, err := io.ReadAll(c.reader); err == nil {
		t.Error("the response of an aborted handler ended without an error")
	}
}

// An closeListener closes ended when its connection is closed, or its writing side.
type closeListener struct {
	net.Listener
	ended chan struct{}
}

func (l *closeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closeConn{TCPConn: c.(*net.TCPConn), end: sync.OnceFunc(func() { close(l.ended) })}, nil
}

// An closeConn is a connection of an closeListener.
type closeConn struct {
	*net.TCPConn
	end func()
}

func (c *closeConn) CloseWrite() error {
	defer c.end()
	return c.TCPConn.CloseWrite()
}

func (c *closeConn) Close() error {
	defer c.end()
	return c.TCPConn.Close()
}
