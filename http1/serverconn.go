package http1

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxLinger is how long a connection with unread bytes stays open for the caller to read
// the last response.
const maxLinger = 2 * time.Second

// deliveryPollInterval is the interval of the checks whether the caller has received the
// last response.
const deliveryPollInterval = 2 * time.Millisecond

// A CloseCause is the reason for which a server closes a connection.
type CloseCause string

// The causes for which a server closes a connection.
const (
	// CloseIdle means that the connection was idle for the idle timeout.
	CloseIdle CloseCause = "idle"
	// CloseShutdown means that the server is shutting down.
	CloseShutdown CloseCause = "shutdown"
)

// A Closing is when and why a server closed a connection.
type Closing struct {
	At    time.Time
	Cause CloseCause
}

// A connState is what a server waits for on a connection.
type connState int

const (
	// connNew means that nothing has arrived yet, but for the handshake of TLS.
	connNew connState = iota
	// connActive means that a request is being read or handled.
	connActive
	// connIdle means that the last response is written, and nothing has arrived since.
	connIdle
)

// A serverConn is a connection of a Server. Its read ends when the connection has been
// idle for too long. Other goroutines may only move the deadline of that read, and only
// while the connection waits for a request.
type serverConn struct {
	net.Conn
	server  *Server
	closing atomic.Pointer[Closing]
	// isAnswered is true once a handler has returned, until the next request.
	isAnswered atomic.Bool
	// isEndedIdle is true once a read has ended the connection after a response.
	isEndedIdle atomic.Bool

	mu    sync.Mutex
	state connState
	// since is when the connection was accepted or became idle.
	since time.Time
	// isWaiting is true while a read waits for the first byte of a request.
	isWaiting bool
	// inHandshake is true until the handshake of TLS is over.
	inHandshake bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn returns the context of the requests on a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ClosingOf returns when and why a Server closed the connection of a request, given the
// request's context. It is nil if the server did not close it.
func ClosingOf(ctx context.Context) *Closing {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	if owned := serverConnOf(c); owned != nil {
		return owned.closing.Load()
	}
	return nil
}

// AcceptedConn returns the connection of a request as the listener of a Server accepted it,
// given the request's context. It is nil if there is none.
func AcceptedConn(ctx context.Context) net.Conn {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	if owned := serverConnOf(c); owned != nil {
		return owned.Conn
	}
	return nil
}

// IsClosedByCaller reports whether the caller of a request has closed its connection or its
// sending side, given the request's context. net/http finds out in a goroutine that runs
// only after the handler first waits.
func IsClosedByCaller(ctx context.Context) bool {
	syscallConn, ok := AcceptedConn(ctx).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	isClosed := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT) //nolint:gosec // Descriptors are small.
		isClosed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && isClosed
}

// serverConnOf returns the serverConn that a connection of net/http is or wraps, nil if
// there is none.
func serverConnOf(c net.Conn) *serverConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	owned, _ := c.(*serverConn)
	return owned
}

// Read implements net.Conn. While the connection waits for a request, it returns
// os.ErrDeadlineExceeded only if nothing has arrived until the end of the idle timeout.
func (c *serverConn) Read(p []byte) (int, error) {
	for {
		c.startWaiting()
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.endWaiting(time.Now(), n)
			return n, err
		}
		now := time.Now()
		cause, isExpired := c.expired(now)
		if !isExpired {
			continue
		}
		if cause == "" {
			return n, err
		}
		if n := c.readArrived(p); n > 0 {
			c.endWaiting(now, n)
			return n, nil
		}
		c.recordClosing(now, cause)
		c.server.closing(cause)
		// A request that crosses the close stays unread, which tells its caller that it
		// has not run.
		c.isEndedIdle.Store(c.isAnswered.Swap(false))
		return 0, err
	}
}

// SetReadDeadline implements net.Conn. net/http removes the deadline of a handshake of TLS
// when it is over. On an idle connection it sets that of a header once it has a part of the
// next request, which it may have read together with the one before.
func (c *serverConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	if deadline.IsZero() {
		c.inHandshake = false
	} else if c.state == connIdle {
		c.state = connActive
		c.isAnswered.Store(false)
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite shuts down the writing side of the connection. net/http calls it so that
// the caller reads a last response before the connection is closed.
func (c *serverConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. The kernel resets a connection that is closed with unread
// bytes, such as a pipelined request, and drops what the caller has not received yet. So
// Close first waits for the caller: after a complete response to close its side, and on an
// idle connection, whose unread bytes must stay unread, to receive the last response.
func (c *serverConn) Close() error {
	switch {
	case c.server.isAborted.Load():
	case c.isEndedIdle.Load():
		c.awaitDelivery()
	case c.isAnswered.Load() && c.readArrived(make([]byte, 1)) > 0:
		c.linger()
	}
	return c.Conn.Close()
}

// awaitDelivery ends the writing side of the connection if the caller has not received all
// that was written, and waits until it has, for at most maxLinger.
func (c *serverConn) awaitDelivery() {
	ticker := time.NewTicker(deliveryPollInterval)
	defer ticker.Stop()
	deadline := time.Now().Add(maxLinger)
	// CloseWrite fails once the caller has reset the connection.
	for c.undelivered() > 0 && c.CloseWrite() == nil && !c.server.isAborted.Load() {
		if now := <-ticker.C; now.After(deadline) {
			return
		}
	}
}

// undelivered returns how many bytes the caller's kernel has not acknowledged yet, zero if
// that is not known.
func (c *serverConn) undelivered() int {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) //nolint:gosec // Descriptors are small.
	})
	if err != nil {
		return 0
	}
	return n
}

// linger ends the writing side of the connection and reads until the caller closes its side,
// for at most maxLinger.
func (c *serverConn) linger() {
	// No other goroutine moves the deadline of an active connection.
	c.becomeActive()
	if c.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(maxLinger)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// becomeIdle records that a response is written.
func (c *serverConn) becomeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = connIdle, now
}

// becomeActive records that a request is read. A pipelined one needs no read of the
// connection.
func (c *serverConn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.isWaiting = connActive, false
	c.isAnswered.Store(false)
}

// startWaiting sets the deadline of a read that waits for a request.
func (c *serverConn) startWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connActive {
		return
	}
	c.isWaiting = true
	c.setDeadline()
}

// endWaiting records that a read has returned n bytes or failed. The first bytes of a
// request replace the deadline of the wait by that of the header.
func (c *serverConn) endWaiting(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWaiting {
		return
	}
	c.isWaiting = false
	if n > 0 && !c.inHandshake {
		c.state = connActive
		_ = c.Conn.SetReadDeadline(now.Add(c.server.config.HeaderTimeout))
	}
}

// updateDeadline sets the deadline of the present read again if it waits for a request.
func (c *serverConn) updateDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWaiting {
		c.setDeadline()
	}
}

// setDeadline sets the deadline of a read that waits for a request. A new connection has
// that of the header, which net/http sets. The caller holds mu.
func (c *serverConn) setDeadline() {
	if c.state == connIdle || c.server.isClosing.Load() {
		_ = c.Conn.SetReadDeadline(c.waitEnd())
	}
}

// waitEnd returns until when the connection waits for a request, the zero time for no
// limit. The caller holds mu.
func (c *serverConn) waitEnd() time.Time {
	if c.server.isClosing.Load() {
		if c.state == connNew {
			return c.since.Add(newConnGrace)
		}
		return c.since
	}
	if timeout := c.server.idleTimeout(); timeout > 0 {
		return c.since.Add(timeout)
	}
	return time.Time{}
}

// expired reports whether a read whose deadline has passed must end. The cause is empty
// if the deadline is one of net/http.
func (c *serverConn) expired(now time.Time) (CloseCause, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isClosing := c.server.isClosing.Load()
	if !c.isWaiting || (c.state == connNew && !isClosing) {
		c.isWaiting = false
		return "", true
	}
	if end := c.waitEnd(); end.IsZero() || now.Before(end) {
		return "", false
	}
	if isClosing {
		return CloseShutdown, true
	}
	return CloseIdle, true
}

// readArrived reads what has arrived without waiting for more. A request may have arrived
// in time although the deadline has passed since, if the process stood still.
func (c *serverConn) readArrived(p []byte) int {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// Unlike Read, Control doesn't fail after the deadline, which other goroutines may move.
	err = raw.Control(func(fd uintptr) {
		n, _ = syscall.Read(int(fd), p) //nolint:gosec // Descriptors are small.
	})
	if err != nil {
		return 0
	}
	return n
}

// recordClosing records that the server closes the connection, unless it did before.
func (c *serverConn) recordClosing(now time.Time, cause CloseCause) {
	c.closing.CompareAndSwap(nil, &Closing{At: now, Cause: cause})
}
