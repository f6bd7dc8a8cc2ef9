package caller

import (
	"io"
	"net/http"
	"time"
)

// A stallReader reads a body and fails if the caller stays silent too long.
type stallReader struct {
	io.Reader
	controller *http.ResponseController
	stall      time.Duration
}

// Read reads with a new time limit.
func (r *stallReader) Read(p []byte) (int, error) {
	if err := r.controller.SetReadDeadline(time.Now().Add(r.stall)); err != nil {
		return 0, err
	}
	n, err := r.Reader.Read(p)
	if err != nil {
		_ = r.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// A stallWriter writes an answer and fails if the caller takes nothing for too
// long. It flushes each write, so that answers reach the caller as they come.
type stallWriter struct {
	io.Writer
	controller *http.ResponseController
	stall      time.Duration
}

// Write writes with a new time limit.
func (w *stallWriter) Write(p []byte) (int, error) {
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.stall)); err != nil {
		return 0, err
	}
	n, err := w.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.controller.Flush()
}
