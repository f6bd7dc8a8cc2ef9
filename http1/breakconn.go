package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWithBreaks returns a DialFunc for an http.Transport. A read from its connections
// returns an end of file only if the other side ended the connection: if it broke and the
// kernel told that to a write, the reader gets the error of the write.
func DialWithBreaks(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &breakConn{Conn: opened}, nil
	}
}

// A breakConn is a connection whose reader learns what its writer learned.
type breakConn struct {
	net.Conn

	// mu is held during each write.
	mu sync.Mutex
	// breakErr is the error of the write that found the connection broken.
	breakErr error
}

// Write implements net.Conn.
func (c *breakConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if isConnBroken(err) {
		c.breakErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *breakConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// Ends a write that waits for an endpoint which has ended its side, and waits for one
	// that has failed but not returned.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breakErr != nil {
		return n, c.breakErr
	}
	return n, err
}
