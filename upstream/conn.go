package upstream

import (
	"net"
	"sync/atomic"
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
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastActivity.Store(c.base.now())
	}
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
	if n > 0 {
		c.lastActivity.Store(c.base.now())
	}
	return n, err
}
