package upstream

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// A conn is a connection to an endpoint. It tracks when bytes were last
// transferred and checks the guard of the request that uses it before each
// write.
type conn struct {
	net.Conn
	base *timebase
	// openedAt is when the connection was established, lastActivity when bytes
	// were last transferred.
	openedAt     int64
	lastActivity atomic.Int64
	guard        atomic.Pointer[writeGuard]
	// closedByEndpoint is set once the endpoint has closed or reset the connection. An
	// attempt may only see that the transport closed it thereafter.
	closedByEndpoint atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordTransfer(n, err)
	return n, err
}

// Write implements net.Conn. It writes only if the guard permits.
func (c *conn) Write(p []byte) (int, error) {
	if guard := c.guard.Load(); guard != nil {
		if err := guard.beforeWrite(c); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.recordTransfer(n, err)
	return n, err
}

// recordTransfer records the result of a read or write.
func (c *conn) recordTransfer(n int, err error) {
	if n > 0 {
		c.lastActivity.Store(c.base.now())
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.closedByEndpoint.Store(true)
	}
}
