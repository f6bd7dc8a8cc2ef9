package upstream

import (
	"errors"
	"io"
)

// A closingBody calls closed once when a body ends or is closed.
type closingBody struct {
	io.ReadCloser
	closed func()
}

// Read reads from the body.
func (b *closingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && errors.Is(err, io.EOF) {
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
