package http1

import (
	"bytes"
	"errors"
	"io"
)

// BodyStep is by how much the part for a body of unknown length grows.
const BodyStep = 64 << 10

// ErrFull is the error of a body for which its budget has no room.
var ErrFull = errors.New("too many bodies are held")

// A Part is what one body uses of a budget.
type Part struct {
	budget *Budget
	held   int64
}

// grow takes bytes. It returns false if they are not left.
func (p *Part) grow(size int64) bool {
	if !p.budget.left.TryAcquire(size) {
		return false
	}
	p.held += size
	p.budget.held.Add(size)
	return true
}

// Release gives all bytes back.
func (p *Part) Release() {
	p.budget.left.Release(p.held)
	p.budget.held.Add(-p.held)
	p.held = 0
}

// ReadAll reads a body of a length, negative if it is unknown. The error is
// ErrFull if the budget does not suffice.
func (p *Part) ReadAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return p.readToEnd(reader)
	}
	if !p.grow(length) {
		return nil, ErrFull
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// readToEnd reads a body of unknown length.
func (p *Part) readToEnd(reader io.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		if !p.grow(BodyStep) {
			return nil, ErrFull
		}
		switch _, err := io.CopyN(&body, reader, BodyStep); {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		}
	}
}
