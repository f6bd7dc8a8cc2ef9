package http1

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"savorystep"
)

// A scriptedConn is a connection whose reads return a fixed sequence of bytes.
type scriptedConn struct {
	net.Conn
	io.Reader
	// bytesRead counts the bytes that were read.
	bytesRead int
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytesRead += n
	return n, err
}

func (*scriptedConn) Close() error { return nil }

func (*scriptedConn) SetDeadline(time.Time) error { return nil }

func (*scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// FuzzResponse guards against responses that crash the parser, that are accepted
// for another request or with a status that is not final, or whose body is longer than
// what was received.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nAttempt: 2\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nAttempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\nAttempt: 1\r\nKeep-Alive: timeout=3\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nAttempt: 1\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"garbage\r\n\r\n",
		"HTTP/1.1 000 Nothing\r\nAttempt: 1\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 101 Switching Protocols\r\nAttempt: 1\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n",
		"HTTP/1.1 600 More\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok",
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
			if id := response.Header.Get("Attempt"); id != "1" {
				t.Errorf("response with attempt id %q is accepted, want %q", id, "1")
			}
			if response.Status < 200 || response.Status > 599 {
				t.Errorf("response with status %d is accepted, want 200 to 599", response.Status)
			}
			if len(response.Body) > len(data) {
				t.Errorf("body has %d bytes after %d bytes were received", len(response.Body), len(data))
			}
			response.Release()
		}
		if usedBytes := config.ResponseBudget.UsedBytes(); usedBytes != 0 {
			t.Errorf("%d bytes of the budget are in use after the exchange, want 0", usedBytes)
		}
	})
}
