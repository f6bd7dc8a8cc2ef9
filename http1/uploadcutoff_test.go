package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"savorystep"
)

// TestUploadCutOff guards against a response that is cut off during an upload and taken for
// complete, in each order in which the reader and the writer of a connection learn how it
// ended. Only a response without a length is complete at an end of file, and only if no
// write shows that the connection broke.
func TestUploadCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\n"
	wires := []struct {
		name, wire string
		isUnframed bool
	}{
		{name: "within the head", wire: head},
		{name: "without a length", wire: head + "\r\npart", isUnframed: true},
		{name: "without a length and body", wire: head + "\r\n", isUnframed: true},
		{name: "within a length", wire: head + "Content-Length: 9\r\n\r\npart"},
		{name: "before a length", wire: head + "Content-Length: 9\r\n\r\n"},
		{name: "within a chunk", wire: head + "Transfer-Encoding: chunked\r\n\r\n9\r\npart"},
		{name: "within a chunk size", wire: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n1"},
		{name: "between chunks", wire: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		{name: "within the last chunk", wire: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n"},
	}
	writes := []struct {
		err error
		// isBroken is true if the error shows that the connection broke.
		isBroken bool
	}{
		{err: nil},
		{err: syscall.EPIPE},
		{err: os.ErrDeadlineExceeded},
		{err: syscall.ECONNRESET, isBroken: true},
		{err: syscall.ETIMEDOUT, isBroken: true},
	}
	for _, test := range wires {
		for _, write := range writes {
			for _, readErr := range []error{io.EOF, syscall.ECONNRESET, syscall.ETIMEDOUT} {
				t.Run(fmt.Sprintf("%s, write %v, read %v", test.name, write.err, readErr), func(t *testing.T) {
					isComplete := test.isUnframed && !write.isBroken && errors.Is(readErr, io.EOF)
					response, err := exchangeUpload(t.Context(), test.wire, write.err, readErr)
					if (err == nil) != isComplete {
						t.Fatalf("response %+v, error %v, want complete %t", response, err, isComplete)
					}
					var exchangeErr *ExchangeError
					if err != nil && (!errors.As(err, &exchangeErr) || exchangeErr.Stage != StageSent) {
						t.Errorf("error %v, want an ExchangeError of a request that was sent", err)
					}
				})
			}
		}
	}
}

// exchangeUpload exchanges a request with a large body, whose write ends with writeErr, for
// a response after which reads fail with readErr.
func exchangeUpload(ctx context.Context, wire string, writeErr, readErr error) (*Response, error) {
	config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt"}}.withDefaults()
	request := &Request{Method: "POST", Target: "/", Host: "h", AttemptID: "1", HasBody: true, Body: make([]byte, maxInlineBodyBytes+1)}
	if writeErr != nil {
		writeErr = &net.OpError{Op: "write", Err: writeErr}
	}
	reader := io.MultiReader(strings.NewReader(wire), failingReader{readErr})
	c := newConn(&failingConn{scriptedConn: scriptedConn{Reader: reader}, bodyErr: writeErr})
	response, isReusable, err := c.exchange(ctx, request, &config)
	if isReusable {
		return response, errors.New("the connection is reused")
	}
	return response, err
}

// A failingReader fails each read.
type failingReader struct {
	err error
}

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
