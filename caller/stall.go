package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// A stallReader reads a request body. A read fails if the caller sends nothing for the
// timeout.
type stallReader struct {
	io.Reader
	controller *http.ResponseController
	timeout    time.Duration

	mu sync.Mutex
	// released is true once the connection no longer belongs to the request.
	released bool
}

// Read reads with a new deadline. At the end of the body it removes the deadline from the
// connection, which may serve further requests. After an error the deadline holds for the
// rest of the body, which the server reads.
func (r *stallReader) Read(p []byte) (int, error) {
	if err := r.setDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		_ = r.setDeadline(time.Time{})
	}
	return n, err
}

// setDeadline sets the read deadline of the connection, unless it has been released. It
// holds the lock meanwhile, because a transport may read the body after the response to
// the caller, when the deadline is that of the idle connection or of the next request.
func (r *stallReader) setDeadline(at time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return http.ErrBodyReadAfterClose
	}
	return r.controller.SetReadDeadline(at)
}

// release ends the use of the connection. Further reads fail.
func (r *stallReader) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released = true
}

// A stallWriter writes a response body. A write fails if it takes longer than the
// timeout. Each write is flushed, so that streamed responses reach the caller without
// delay.
type stallWriter struct {
	io.Writer
	controller *http.ResponseController
	timeout    time.Duration
}

// Write writes with a new deadline and flushes.
func (w *stallWriter) Write(p []byte) (int, error) {
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	n, err := w.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.controller.Flush()
}
