package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// A pendingConn is a connection on which a write waits for a deadline and then fails, and
// reads find the end of the file.
type pendingConn struct {
	blockedConn
	isWriting chan struct{}
}

func (c *pendingConn) Write(p []byte) (int, error) {
	close(c.isWriting)
	return c.blockedConn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *pendingConn) SetWriteDeadline(deadline time.Time) error { return c.SetDeadline(deadline) }

func (*pendingConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestReadWaitsForWrite guards against a broken connection that looks ended, because its
// reader got an end of file before the write that took the error returned it.
func TestReadWaitsForWrite(t *testing.T) {
	for _, test := range []struct {
		writeErr, want error
	}{
		{writeErr: syscall.ECONNRESET, want: syscall.ECONNRESET},
		{writeErr: syscall.ETIMEDOUT, want: syscall.ETIMEDOUT},
		{writeErr: syscall.EPIPE, want: io.EOF},
		{writeErr: os.ErrDeadlineExceeded, want: io.EOF},
	} {
		t.Run(test.writeErr.Error(), func(t *testing.T) {
			opened := &pendingConn{blockedConn: blockedConn{deadlines: make(chan time.Time, 1), bodyErr: test.writeErr}, isWriting: make(chan struct{})}
			c, err := DialWithBreaks(func(context.Context, string, string) (net.Conn, error) { return opened, nil })(t.Context(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			written := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, maxInlineBodyBytes+1))
				written <- err
			}()
			<-opened.isWriting
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, test.want) {
				t.Errorf("read returns %v, want %v", err, test.want)
			}
			close(opened.deadlines)
			if err := <-written; !errors.Is(err, test.writeErr) {
				t.Errorf("write returns %v, want %v", err, test.writeErr)
			}
		})
	}
}
