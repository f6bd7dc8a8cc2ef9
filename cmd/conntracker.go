package cmd

import (
	"context"
	"net"
	"sync"

	"savorystep/standin"
)

// A connTracker tracks the listeners and connections of an entry, so that all can be
// closed at once, as if its process had died.
type connTracker struct {
	mu        sync.Mutex
	isClosed  bool
	conns     map[net.Conn]struct{}
	listeners []net.Listener
}

// newConnTracker returns a tracker without connections.
func newConnTracker() *connTracker {
	return &connTracker{conns: make(map[net.Conn]struct{})}
}

// closeAll closes all tracked connections and listeners. Connections that are added
// later are closed immediately.
func (c *connTracker) closeAll() {
	c.mu.Lock()
	c.isClosed = true
	conns := c.conns
	c.conns = make(map[net.Conn]struct{})
	c.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	for _, listener := range c.listeners {
		_ = listener.Close()
	}
}

// add tracks a connection until it is closed, and returns it wrapped. After closeAll
// it closes the connection instead.
func (c *connTracker) add(conn net.Conn) net.Conn {
	tracked := &trackedConn{Conn: conn, tracker: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		_ = conn.Close()
		return conn
	}
	c.conns[tracked] = struct{}{}
	return tracked
}

// trackListeners returns listeners that track the connections they accept.
func (c *connTracker) trackListeners(opened listeners) listeners {
	return listeners{
		Caller:   c.trackListener(opened.Caller),
		Operator: c.trackListener(opened.Operator),
		Peer:     c.trackListener(opened.Peer),
	}
}

// trackListener returns a listener that tracks the connections it accepts.
func (c *connTracker) trackListener(listener net.Listener) net.Listener {
	c.listeners = append(c.listeners, listener)
	return &trackedListener{Listener: listener, tracker: c}
}

// trackDial returns a dial function that tracks the connections it opens.
func (c *connTracker) trackDial(dial standin.DialFunc) standin.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.add(conn), nil
	}
}

// trackWrap returns a wrap function that tracks the connections it wraps.
func (c *connTracker) trackWrap(wrap func(net.Conn, string) net.Conn) func(net.Conn, string) net.Conn {
	return func(conn net.Conn, address string) net.Conn {
		return c.add(wrap(conn, address))
	}
}

// A trackedListener is a listener whose connections are tracked.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept waits for a connection and tracks it.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.add(conn), nil
}

// A trackedConn is a connection that is tracked until it is closed.
type trackedConn struct {
	net.Conn
	tracker *connTracker
}

// Close removes the connection from the tracker and closes it.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}
