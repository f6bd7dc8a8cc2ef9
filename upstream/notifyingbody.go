package upstream

import (
	"errors"
	"io"
)

// A notifyingBody calls onEnd when a body has ended or is closed, and before
// that onComplete if it ended without an error.
type notifyingBody struct {
	io.ReadCloser
	onEnd func()
	// onComplete may be nil.
	onComplete func()
}

// Read implements io.Reader.
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

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.onEnd()
	return err
}
