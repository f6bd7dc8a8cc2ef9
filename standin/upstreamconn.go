package standin

import (
	"net"
	"sync/atomic"
)

// An upstreamConn is a connection of an Upstream. While silent is true it
// discards the data that it receives and that is written to it.
type upstreamConn struct {
	net.Conn
	upstream *Upstream
	silent   atomic.Bool
	closed   atomic.Bool
	// connectCostPaid is true after the first request, which the connect cost
	// delays.
	connectCostPaid atomic.Bool
}

// Read reads from the connection. While it is silent, Read discards the data and
// doesn't return.
func (c *upstreamConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. While it is silent, Write discards the data and
// returns success.
func (c *upstreamConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the upstream.
func (c *upstreamConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.upstream.removeConn(c)
	}
	return c.Conn.Close()
}

// An upstreamListener accepts connections up to the limit of an Upstream and
// closes those beyond it at once.
type upstreamListener struct {
	net.Listener
	upstream *Upstream
}

// Accept returns the next connection within the limit.
func (l *upstreamListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		wrapped := &upstreamConn{Conn: conn, upstream: l.upstream}
		if l.upstream.addConn(wrapped) {
			return wrapped, nil
		}
		_ = conn.Close()
	}
}
