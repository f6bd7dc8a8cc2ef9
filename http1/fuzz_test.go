package http1

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"savorystep"
)

// A scriptedConn is a connection that delivers fixed bytes.
type scriptedConn struct {
	net.Conn
	io.Reader
	// read counts the bytes that were read.
	read int
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read += n
	return n, err
}

func (*scriptedConn) Close() error { return nil }

func (*scriptedConn) SetDeadline(time.Time) error { return nil }

func (*scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// FuzzAnswer guards against answers that crash the reader, that are accepted
// for another request, or whose body has more bytes than came.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nAttempt: 2\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\nAttempt: 1\r\nKeep-Alive: timeout=3\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nAttempt: 1\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"garbage\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		config := Config{ResponseBudget: NewMemoryBudget(1 << 20), HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt", NotExecuted: "Not-Run"}}.withDefaults()
		c := newConn(&scriptedConn{Reader: bytes.NewReader(data)})
		request := &Request{Method: "GET", Target: "/", Host: "h", AttemptID: "1"}
		if head {
			request.Method = "HEAD"
		}
		response, _, err := c.exchange(t.Context(), request, &config)
		if err == nil {
			id := response.Header.Get("Attempt")
			if id != "1" && (id != "" || !isUnnamed(response, "Not-Run")) {
				t.Errorf("the answer to %q is accepted", id)
			}
			if len(response.Body) > len(data) {
				t.Errorf("a body of %d bytes from %d bytes", len(response.Body), len(data))
			}
			response.Release()
		}
		if held := config.ResponseBudget.UsedBytes(); held != 0 {
			t.Errorf("%d bytes are held", held)
		}
	})
}
