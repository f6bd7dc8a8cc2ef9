package cmd

import (
	"context"
	"net"
	"sync"

	"savorystep/standin"
)

// connTracker are the connections of an entry. They can be broken all at once.
type connTracker struct {
	mu        sync.Mutex
	isClosed  bool
	conns     map[net.Conn]struct{}
	listeners []net.Listener
}

// newConnTracker returns an empty set.
func newConnTracker() *connTracker {
	return &connTracker{conns: make(map[net.Conn]struct{})}
}

// closeAll breaks all connections and listeners.
func (c *connTracker) closeAll() {
	c.mu.Lock()
	c.isClosed = true
	open := c.conns
	c.conns = make(map[net.Conn]struct{})
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Close()
	}
	for _, listener := range c.listeners {
		_ = listener.Close()
	}
}

// add keeps a connection in the set, or breaks it if the set was killed.
func (c *connTracker) add(conn net.Conn) net.Conn {
	kept := &trackedConn{Conn: conn, tracker: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		_ = conn.Close()
		return conn
	}
	c.conns[kept] = struct{}{}
	return kept
}

// trackListeners returns the trackListeners with their connections in the set.
func (c *connTracker) trackListeners(opened listeners) listeners {
	return listeners{
		Caller:   c.trackListener(opened.Caller),
		Operator: c.trackListener(opened.Operator),
		Peer:     c.trackListener(opened.Peer),
	}
}

// trackListener returns a trackListener with its connections in the set.
func (c *connTracker) trackListener(listener net.Listener) net.Listener {
	c.listeners = append(c.listeners, listener)
	return &trackedListener{Listener: listener, tracker: c}
}

// trackDial returns a trackDial function with its connections in the set.
func (c *connTracker) trackDial(dial standin.DialFunc) standin.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.add(conn), nil
	}
}

// trackWrap returns a trackWrap function with its connections in the set.
func (c *connTracker) trackWrap(wrap func(net.Conn, string) net.Conn) func(net.Conn, string) net.Conn {
	return func(made net.Conn, address string) net.Conn {
		return c.add(wrap(made, address))
	}
}

// A trackedListener keeps its connections in a set.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept waits for a connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.add(conn), nil
}

// A trackedConn leaves its set when it is closed.
type trackedConn struct {
	net.Conn
	tracker *connTracker
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}
