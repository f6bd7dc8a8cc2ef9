package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// maxDelayedChunks is the maximum number of chunks on their way in one direction.
const maxDelayedChunks = 1024

var _ net.Conn = &DelayedConn{}

// A DelayedConn is a connection with additional one-way latency in both
// directions, which simulates a link between distant places. It ignores read and
// write deadlines.
type DelayedConn struct {
	net.Conn
	latency  time.Duration
	incoming chan delayedChunk
	outgoing chan delayedChunk
	closed   chan struct{}
	// close closes the channel closed. Further calls have no effect.
	close func()
	// unread is received data that Read has not returned yet. Once it is empty,
	// Read returns readErr if that is set.
	unread  []byte
	readErr error
}

// A delayedChunk is data, or the end of the stream with err, that arrives at the
// time dueAt.
type delayedChunk struct {
	data  []byte
	dueAt time.Time
	err   error
}

// NewDelayedConn returns conn with the additional one-way latency. It starts two
// goroutines, which end when the connection is closed.
func NewDelayedConn(conn net.Conn, latency time.Duration) *DelayedConn {
	c := &DelayedConn{
		Conn:     conn,
		latency:  latency,
		incoming: make(chan delayedChunk, maxDelayedChunks),
		outgoing: make(chan delayedChunk, maxDelayedChunks),
		closed:   make(chan struct{}),
	}
	c.close = sync.OnceFunc(func() { close(c.closed) })
	go c.receive()
	go c.send()
	return c
}

// receive reads from the underlying connection and queues the data with the time
// of its arrival at the reader.
func (c *DelayedConn) receive() {
	for {
		buffer := make([]byte, 32<<10)
		n, err := c.Conn.Read(buffer)
		chunk := delayedChunk{data: buffer[:n], dueAt: time.Now().Add(c.latency), err: err}
		select {
		case c.incoming <- chunk:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes queued data to the underlying connection when it is due, and closes
// that connection after the data written before Close.
func (c *DelayedConn) send() {
	for {
		select {
		case <-c.closed:
			return
		case chunk := <-c.outgoing:
			if !c.sleepUntil(chunk.dueAt) {
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

// sleepUntil waits until the time due. It returns false if the connection is
// closed before.
func (c *DelayedConn) sleepUntil(due time.Time) bool {
	remaining := time.Until(due)
	if remaining <= 0 {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-c.closed:
		return false
	case <-timer.C:
		return true
	}
}

// Read returns data that has arrived after the latency.
func (c *DelayedConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case chunk := <-c.incoming:
			if !c.sleepUntil(chunk.dueAt) {
				return 0, net.ErrClosed
			}
			c.unread = chunk.data
			c.readErr = chunk.err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write queues a copy of p for sending. It blocks while maxDelayedChunks chunks
// are queued.
func (c *DelayedConn) Write(p []byte) (int, error) {
	chunk := delayedChunk{data: append([]byte(nil), p...), dueAt: time.Now().Add(c.latency)}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.outgoing <- chunk:
		return len(p), nil
	}
}

// Close closes the connection after the latency, once the written data is sent.
// If the queue of written data is full, it closes the connection at once and
// drops the data.
func (c *DelayedConn) Close() error {
	select {
	case c.outgoing <- delayedChunk{dueAt: time.Now().Add(c.latency), err: io.EOF}:
	case <-c.closed:
	default:
		c.close()
		return c.Conn.Close()
	}
	return nil
}
