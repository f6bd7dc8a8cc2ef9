package caller

import (
	"net"
	"sync"
)

// A LimitListener bounds the number of open connections. A connection beyond
// the bound waits in the kernel's queue until another one closes.
type LimitListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

// NewLimitListener returns a listener with at most limit open connections.
func NewLimitListener(listener net.Listener, limit int) *LimitListener {
	return &LimitListener{
		Listener: listener,
		slots:    make(chan struct{}, limit),
		done:     make(chan struct{}),
	}
}

// Accept waits for a free slot and a connection.
func (l *LimitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener; open connections stay.
func (l *LimitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// A limitConn gives its slot back when it is closed.
type limitConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
