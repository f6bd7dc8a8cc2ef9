package peer_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/peer"
)

// A resetConn is a connection to a peer that is reset after a response without a length. The
// kernel tells that to the write of the request, which returns after the reader has found
// an end of file.
type resetConn struct {
	net.Conn
	// received receives the response.
	received chan []byte
	reader   *bytes.Reader
	// ended is closed when the connection is closed or its write has timed out.
	ended chan struct{}
	once  sync.Once
}

// Write passes a whole request to the peer.
func (c *resetConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		return n, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c.Conn), nil)
	if err != nil {
		return n, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return n, err
	}
	c.received <- append([]byte("HTTP/1.1 200 OK\r\n\r\n"), body...)
	<-c.ended
	return n, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (c *resetConn) Read(p []byte) (int, error) {
	if c.reader == nil {
		select {
		case wire := <-c.received:
			c.reader = bytes.NewReader(wire)
		case <-c.ended:
			return 0, net.ErrClosed
		}
	}
	return c.reader.Read(p)
}

// SetWriteDeadline implements net.Conn. All deadlines are in the past.
func (c *resetConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.ended) })
	return nil
}

func (c *resetConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// TestCatchUpReset guards against a response to a catch-up request that was reset and counts
// as whole, because the writer of the request took the error of the reset.
func TestCatchUpReset(t *testing.T) {
	f := newFleet(t, 3, nil)
	f.waitForFullMembership(t)
	starting := peer.New(peer.Config{
		Self:   savorystep.Instance{ID: "starting", PeerAddress: "127.0.0.1:1", State: savorystep.StateLive},
		Secret: "secret", Seeds: []savorystep.Address{f.nodes[0].Self().PeerAddress},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &resetConn{Conn: opened, received: make(chan []byte, 1), ended: make(chan struct{})}, nil
		},
	})
	if got, err := peer.CatchUp(t.Context(), starting); got != 0 || err == nil {
		t.Errorf("%d new statuses and error %v from a response that was reset, want none and an error", got, err)
	}
}
