package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxDiscardedBytes bounds what is read of an abandoned response while the endpoint
// notices the close. More means that it notices by the reset of its writes.
const maxDiscardedBytes = 64 << 10

// A conn is a connection to an endpoint. It tracks when bytes were last
// transferred and checks the guard of the request that uses it before each
// write.
type conn struct {
	net.Conn
	base *timebase
	// openedAt is when the connection was established, lastActivity when bytes
	// were last transferred.
	openedAt     int64
	lastActivity atomic.Int64
	guard        atomic.Pointer[writeGuard]
	// closedByEndpoint is set once the endpoint has closed or reset the connection. An
	// attempt may only see that the transport closed it thereafter.
	closedByEndpoint atomic.Bool
	// closeTimeout is Limits.CloseTimeout.
	closeTimeout time.Duration
	closeOnce    sync.Once
	closeErr     error
	isClosed     atomic.Bool
	// readMu is held during a read, so that the wait for the endpoint's close begins
	// after the last read of the transport.
	readMu sync.Mutex
	// ended is closed once the endpoint runs no request of this connection any more, as
	// far as it can be known.
	ended chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	c.recordTransfer(n, err)
	return n, err
}

// Write implements net.Conn. It writes only if the guard permits.
func (c *conn) Write(p []byte) (int, error) {
	if guard := c.guard.Load(); guard != nil {
		if err := guard.beforeWrite(c); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.recordTransfer(n, err)
	return n, err
}

// recordTransfer records the result of a read or write.
func (c *conn) recordTransfer(n int, err error) {
	if n > 0 {
		c.lastActivity.Store(c.base.now())
	}
	if isEndpointClose(err) {
		c.closedByEndpoint.Store(true)
	}
}

// isEndpointClose reports whether an error says that the endpoint has closed or reset its
// side of the connection.
func isEndpointClose(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// A halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface {
	CloseWrite() error
}

// Close implements net.Conn. After an exchange that was given up, only the sending side is
// closed at first: an endpoint closes its own side when it has stopped to run the request.
// Close does not wait for that, ended says when it was seen.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.isClosed.Store(true)
		guard := c.guard.Load()
		if guard == nil || !guard.awaitsResponse() || c.closedByEndpoint.Load() {
			c.closeErr = c.Conn.Close()
			close(c.ended)
			return
		}
		half, ok := c.Conn.(halfCloser)
		if ok {
			// Ends the transport's reads and writes, which may block.
			c.closeErr = c.SetDeadline(time.Unix(1, 0))
		} else {
			c.closeErr = c.Conn.Close()
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.closeTimeout)
		go func() {
			defer cancel()
			defer close(c.ended)
			if !ok || !c.awaitEndpointClose(ctx, half) {
				<-ctx.Done()
			}
		}()
	})
	return c.closeErr
}

// awaitEndpointClose closes the sending side, and the connection when the endpoint has
// closed its own, ctx ends or too much arrives. It reports whether the endpoint has.
func (c *conn) awaitEndpointClose(ctx context.Context, half halfCloser) bool {
	err := c.discardRest(ctx, half)
	if closeErr := c.Conn.Close(); closeErr != nil {
		log.Debugf("close connection to %s: %v", c.RemoteAddr(), closeErr)
	}
	return isEndpointClose(err)
}

// discardRest closes the sending side and reads the rest of what arrives. It returns the
// error that ended the read, or nil if too much arrived.
func (c *conn) discardRest(ctx context.Context, half halfCloser) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if err := half.CloseWrite(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetReadDeadline(deadline); err != nil {
			return err
		}
	}
	_, err := io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	return err
}
