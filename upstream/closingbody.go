package upstream

import (
	"errors"
	"io"
)

// A closingBody calls closed when a body ends or is closed, and whole before
// that when it ended without an error.
type closingBody struct {
	io.ReadCloser
	closed func()
	// whole may be nil.
	whole func()
}

// Read reads from the body.
func (b *closingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && errors.Is(err, io.EOF) {
		if b.whole != nil {
			b.whole()
		}
		b.closed()
	}
	return n, err
}

// Close closes the body.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.closed()
	return err
}
