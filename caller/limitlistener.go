package caller

import (
	"context"
	"net"
	"sync"
)

// A LimitListener limits the number of open connections. Further connections wait in
// the accept queue of the kernel until an open one is closed.
type LimitListener struct {
	net.Listener
	semaphore chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// NewLimitListener returns a listener that accepts from listener and has at most limit
// connections open.
func NewLimitListener(listener net.Listener, limit int) *LimitListener {
	return &LimitListener{
		Listener:  listener,
		semaphore: make(chan struct{}, limit),
		closed:    make(chan struct{}),
	}
}

// Accept waits until fewer connections than the limit are open, and for a connection.
// It returns net.ErrClosed once the listener is closed.
func (l *LimitListener) Accept() (net.Conn, error) {
	select {
	case l.semaphore <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.semaphore })}, nil
}

// Close closes the listener. Open connections stay open.
func (l *LimitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns the context of the requests on a caller's connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// A limitConn is a connection that counts toward the limit until it is closed.
type limitConn struct {
	net.Conn
	release func()
}

// resetOnClose sets whether the end of the connection is a reset, even if the process ends.
func (c *limitConn) resetOnClose(isReset bool) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	const reset, inBackground = 0, -1
	if isReset {
		return tcp.SetLinger(reset)
	}
	return tcp.SetLinger(inBackground)
}

// Close closes the connection and lets the listener accept another one.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
