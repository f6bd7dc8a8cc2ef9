package caller

import (
	"errors"
	"net"
	"sync"
	"syscall"
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

// A limitConn is a connection that counts toward the limit until it is closed.
type limitConn struct {
	net.Conn
	release func()
}

// SyscallConn lets the server look for a request that has arrived before it closes an
// idle connection.
func (c *limitConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// CloseWrite shuts down the writing side of the connection.
func (c *limitConn) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.CloseWrite()
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
