package upstream

import (
	"net"
	"sync/atomic"
)

// A conn is a connection to an endpoint. It knows when bytes last moved and
// asks the sending that uses it before each write.
type conn struct {
	net.Conn
	base *timebase
	// born is when the connection was made, activity when bytes last moved.
	openedAt     int64
	lastActivity atomic.Int64
	guard        atomic.Pointer[writeGuard]
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastActivity.Store(c.base.now())
	}
	return n, err
}

// Write writes to the connection if the sending that uses it agrees.
func (c *conn) Write(p []byte) (int, error) {
	if s := c.guard.Load(); s != nil {
		if err := s.beforeWrite(c); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.lastActivity.Store(c.base.now())
	}
	return n, err
}
