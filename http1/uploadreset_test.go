package http1_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sys/unix"
)

// readerBytes is what the reader of a scripted endpoint may have read with the head.
const readerBytes = 4 << 10

// awaitUnread waits until bytes have arrived that were not read.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// TestUploadCutOffBySockets guards against a response that an endpoint cuts off, without
// reading the upload, and that is taken for complete, or the reverse. The kernel decides
// whether the reader or the writer of the connection learns of a reset.
func TestUploadCutOffBySockets(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	end := func(c *net.TCPConn) { _ = c.CloseWrite() }
	endings := []struct {
		name string
		end  func(*net.TCPConn)
		// isEnd is true if the endpoint ends its side of the connection.
		isEnd bool
		// staysOpen is true if the connection stays open until the response is read.
		staysOpen bool
		// leavesUnread is true if a part of the body must be unread.
		leavesUnread bool
	}{
		{name: "reset", end: reset},
		{name: "closed with unread bytes", end: awaitUnread, leavesUnread: true},
		{name: "ended", end: end, isEnd: true, staysOpen: true},
		{name: "ended and reset", end: func(c *net.TCPConn) { end(c); reset(c) }, isEnd: true},
	}
	responses := []struct {
		name, wire string
		isUnframed bool
	}{
		{name: "without a length", wire: head + "\r\npart", isUnframed: true},
		{name: "within a length", wire: head + "Content-Length: 9\r\n\r\npart"},
		{name: "within a chunk", wire: head + "Transfer-Encoding: chunked\r\n\r\n9\r\npart"},
		{name: "between chunks", wire: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	}
	for _, size := range []int{1 << 10, 64 << 10, uploadBytes} {
		body := make([]byte, size)
		for _, ending := range endings {
			for _, response := range responses {
				if ending.leavesUnread && size <= readerBytes {
					continue
				}
				t.Run(fmt.Sprintf("%d bytes, %s, %s", size, response.name, ending.name), func(t *testing.T) {
					// The end of the head makes the endpoint answer, so that the body is unread or
					// not written yet.
					received := make(chan struct{})
					target, _ := startEndpoint(t, func(c *serverConn) {
						if _, err := http.ReadRequest(c.reader); err != nil {
							return
						}
						_, _ = c.Write([]byte(response.wire))
						ending.end(c.Conn.(*net.TCPConn))
						if ending.staysOpen {
							<-received
						}
					})
					pool := newPool()
					for n := range 10 {
						request := newRequest("1")
						request.Method, request.HasBody, request.Body = http.MethodPost, true, body
						got, err := pool.Exchange(t.Context(), target, request)
						if err == nil && (!response.isUnframed || !ending.isEnd || string(got.Body) != "part") {
							t.Fatalf("exchange %d: body %q is returned as complete", n, got.Body)
						}
						if err != nil && response.isUnframed && ending.isEnd {
							t.Fatalf("exchange %d: %v", n, err)
						}
						if ending.staysOpen {
							received <- struct{}{}
						}
					}
				})
			}
		}
	}
}
