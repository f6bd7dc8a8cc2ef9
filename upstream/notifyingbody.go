package upstream

import (
	"errors"
	"io"
)

// A closingBody calls closed when a body ends or is closed, and whole before
// that when it ended without an error.
type notifyingBody struct {
	io.ReadCloser
	onEnd func()
	// whole may be nil.
	onComplete func()
}

// Read reads from the body.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && errors.Is(err, io.EOF) {
		if b.onComplete != nil {
			b.onComplete()
		}
		b.onEnd()
	}
	return n, err
}

// Close closes the body.
func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.onEnd()
	return err
}
