package peer_test

import (
	"context"
	"errors"
	"net"
	"sync"

	"savorystep"
)

// A network injects faults into the connections between nodes.
type network struct {
	mu    sync.Mutex
	conns map[*faultyConn]struct{}
	// isPartitioned reports whether two addresses cannot reach each other.
	isPartitioned func(a, b string) bool
}

func newNetwork() *network {
	return &network{conns: make(map[*faultyConn]struct{}), isPartitioned: func(string, string) bool { return false }}
}

var errPartitioned = errors.New("network is partitioned")

// dialer returns the dial function of the node at an address.
func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, to string) (net.Conn, error) {
		n.mu.Lock()
		isPartitioned := n.isPartitioned(from, to)
		n.mu.Unlock()
		if isPartitioned {
			return nil, errPartitioned
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, to)
		if err != nil {
			return nil, err
		}
		c := &faultyConn{Conn: conn, network: n, from: from, to: to, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = struct{}{}
		return c, nil
	}
}

// partition partitions the network. Existing connections across the partition
// silently lose all data.
func (n *network) partition(isPartitioned func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
	for c := range n.conns {
		if isPartitioned(c.from, c.to) {
			c.silenced = true
		}
	}
}

// silence makes the existing connections between two addresses lose all data
// silently. New connections work. It returns the number of affected
// connections.
func (n *network) silence(a, b savorystep.Address) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if (c.from == string(a) && c.to == string(b)) || (c.from == string(b) && c.to == string(a)) {
			c.silenced = true
			count++
		}
	}
	return count
}

// isolate makes an address unreachable. Its existing connections silently lose
// all data.
func (n *network) isolate(address savorystep.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.isPartitioned
	n.isPartitioned = func(a, b string) bool {
		return a == string(address) || b == string(address) || previous(a, b)
	}
	for c := range n.conns {
		if c.from == string(address) || c.to == string(address) {
			c.silenced = true
		}
	}
}

// A faultyConn is a connection that can be made silent: written data is lost,
// and reads block until the connection is closed.
type faultyConn struct {
	net.Conn
	network  *network
	from, to string
	silenced bool
	once     sync.Once
	closed   chan struct{}
}

func (c *faultyConn) isSilent() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.silenced
}

func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
