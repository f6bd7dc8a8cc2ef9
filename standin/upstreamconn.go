package standin

import (
	"net"
	"sync/atomic"
)

// An upstreamConn is a connection that can fall silent: it then reads and
// discards what arrives, and discards what is written.
type upstreamConn struct {
	net.Conn
	owner  *Upstream
	silent atomic.Bool
	closed atomic.Bool
	used   atomic.Bool
}

// Read reads from the connection. It discards what it reads while silent.
func (c *upstreamConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. It pretends to while silent.
func (c *upstreamConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (c *upstreamConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.owner.forget(c)
	}
	return c.Conn.Close()
}

// An upstreamListener accepts connections for an Upstream up to its limit and
// closes those beyond it at once.
type upstreamListener struct {
	net.Listener
	owner *Upstream
}

// Accept returns the next connection within the limit.
func (l *upstreamListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped := &upstreamConn{Conn: conn, owner: l.owner}
		if l.owner.admit(wrapped) {
			return wrapped, nil
		}
		_ = conn.Close()
	}
}
