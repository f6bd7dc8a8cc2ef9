package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// maxDelayed bounds the chunks that are on the way in one direction.
const maxDelayed = 1024

var _ net.Conn = &DelayedConn{}

// A DelayedConn adds a one-way latency to both directions of a connection. It
// stands in for a long link. It ignores read and write deadlines.
type DelayedConn struct {
	net.Conn
	latency time.Duration
	in      chan delayedChunk
	out     chan delayedChunk
	done    chan struct{}
	close   func()
	rest    []byte
	err     error
}

// A delayedChunk is data that arrives at a time.
type delayedChunk struct {
	data []byte
	due  time.Time
	err  error
}

// NewDelayedConn returns conn with the latency added.
func NewDelayedConn(conn net.Conn, latency time.Duration) *DelayedConn {
	c := &DelayedConn{
		Conn:    conn,
		latency: latency,
		in:      make(chan delayedChunk, maxDelayed),
		out:     make(chan delayedChunk, maxDelayed),
		done:    make(chan struct{}),
	}
	c.close = sync.OnceFunc(func() { close(c.done) })
	go c.receive()
	go c.send()
	return c
}

// receive reads from the connection and stamps what arrives.
func (c *DelayedConn) receive() {
	for {
		buffer := make([]byte, 32<<10)
		n, err := c.Conn.Read(buffer)
		chunk := delayedChunk{data: buffer[:n], due: time.Now().Add(c.latency), err: err}
		select {
		case c.in <- chunk:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes what is due.
func (c *DelayedConn) send() {
	for {
		select {
		case <-c.done:
			return
		case chunk := <-c.out:
			if !c.sleepUntil(chunk.due) {
				return
			}
			if chunk.err != nil {
				_ = c.Conn.Close()
				c.close()
				return
			}
			if _, err := c.Conn.Write(chunk.data); err != nil {
				return
			}
		}
	}
}

// sleepUntil waits until a time and reports whether the connection is open.
func (c *DelayedConn) sleepUntil(due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-c.done:
		return false
	case <-timer.C:
		return true
	}
}

// Read returns data that has arrived.
func (c *DelayedConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		select {
		case <-c.done:
			return 0, net.ErrClosed
		case chunk := <-c.in:
			if !c.sleepUntil(chunk.due) {
				return 0, net.ErrClosed
			}
			c.rest = chunk.data
			c.err = chunk.err
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write puts data on its way.
func (c *DelayedConn) Write(p []byte) (int, error) {
	chunk := delayedChunk{data: append([]byte(nil), p...), due: time.Now().Add(c.latency)}
	select {
	case <-c.done:
		return 0, net.ErrClosed
	case c.out <- chunk:
		return len(p), nil
	}
}

// Close closes this end at once; the other end learns of it after the latency.
func (c *DelayedConn) Close() error {
	select {
	case c.out <- delayedChunk{due: time.Now().Add(c.latency), err: io.EOF}:
	case <-c.done:
	default:
		c.close()
		return c.Conn.Close()
	}
	return nil
}
