package ingress

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// A closeCause is the reason for which this instance closed a caller's connection.
type closeCause string

// closeIdle means that the connection was idle for the idle timeout.
const closeIdle closeCause = "idle"

// A connClosing is when and why this instance closed a caller's connection.
type connClosing struct {
	at    time.Time
	cause closeCause
}

// A callerConn is a caller's connection that knows whether this instance closed it.
type callerConn struct {
	net.Conn
	closing atomic.Pointer[connClosing]
}

// closeFor closes the connection for a cause.
func (c *callerConn) closeFor(now time.Time, cause closeCause) {
	c.closing.Store(&connClosing{at: now, cause: cause})
	_ = c.Close()
}

// A callerListener accepts connections as callerConns.
type callerListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns the context of the requests on a caller's connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// closingOf returns when and why this instance closed the connection of a request. It is
// nil if the instance did not close it.
func closingOf(ctx context.Context) *connClosing {
	if c, ok := ctx.Value(connKey{}).(*callerConn); ok {
		return c.closing.Load()
	}
	return nil
}
