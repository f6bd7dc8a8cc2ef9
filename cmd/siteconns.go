package cmd

import (
	"context"
	"net"
	"sync"

	"savorystep/standin"
)

// siteConns are the connections of an entry. They can be broken all at once.
type siteConns struct {
	mu     sync.Mutex
	killed bool
	open   map[net.Conn]struct{}
	closed []net.Listener
}

// newSiteConns returns an empty set.
func newSiteConns() *siteConns {
	return &siteConns{open: make(map[net.Conn]struct{})}
}

// kill breaks all connections and listeners.
func (c *siteConns) kill() {
	c.mu.Lock()
	c.killed = true
	open := c.open
	c.open = make(map[net.Conn]struct{})
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Close()
	}
	for _, listener := range c.closed {
		_ = listener.Close()
	}
}

// add keeps a connection in the set, or breaks it if the set was killed.
func (c *siteConns) add(conn net.Conn) net.Conn {
	kept := &siteConn{Conn: conn, owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.killed {
		_ = conn.Close()
		return conn
	}
	c.open[kept] = struct{}{}
	return kept
}

// listeners returns the listeners with their connections in the set.
func (c *siteConns) listeners(opened listeners) listeners {
	return listeners{
		Caller:   c.listener(opened.Caller),
		Operator: c.listener(opened.Operator),
		Peer:     c.listener(opened.Peer),
	}
}

// listener returns a listener with its connections in the set.
func (c *siteConns) listener(listener net.Listener) net.Listener {
	c.closed = append(c.closed, listener)
	return &siteListener{Listener: listener, owner: c}
}

// dial returns a dial function with its connections in the set.
func (c *siteConns) dial(dial standin.DialFunc) standin.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.add(conn), nil
	}
}

// wrap returns a wrap function with its connections in the set.
func (c *siteConns) wrap(wrap func(net.Conn, string) net.Conn) func(net.Conn, string) net.Conn {
	return func(made net.Conn, address string) net.Conn {
		return c.add(wrap(made, address))
	}
}

// A siteListener keeps its connections in a set.
type siteListener struct {
	net.Listener
	owner *siteConns
}

// Accept waits for a connection.
func (l *siteListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.add(conn), nil
}

// A siteConn leaves its set when it is closed.
type siteConn struct {
	net.Conn
	owner *siteConns
}

// Close closes the connection.
func (c *siteConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
