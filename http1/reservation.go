package http1

import (
	"bytes"
	"errors"
	"io"
)

// ReservationStepBytes is by how much the part for a body of unknown length grows.
const ReservationStepBytes = 64 << 10

// firstPiece is the size of the first piece of a body of unknown length, which
// holds most bodies. Each further piece is twice as large, up to BodyStep.
const firstPiece = 4 << 10

// ErrBudgetExceeded is the error of a body for which its budget has no room.
var ErrBudgetExceeded = errors.New("too many bodies are held")

// A Reservation is what one body uses of a budget.
type Reservation struct {
	budget *MemoryBudget
	held   int64
}

// grow takes bytes. It returns false if they are not left.
func (p *Reservation) grow(size int64) bool {
	if !p.budget.left.TryAcquire(size) {
		return false
	}
	p.held += size
	p.budget.held.Add(size)
	return true
}

// Release gives all bytes back.
func (p *Reservation) Release() {
	p.budget.left.Release(p.held)
	p.budget.held.Add(-p.held)
	p.held = 0
}

// ReadAll reads a body of a length, negative if it is unknown. The error is
// ErrFull if the budget does not suffice.
func (p *Reservation) ReadAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return p.readToEnd(reader)
	}
	if !p.grow(length) {
		return nil, ErrBudgetExceeded
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// readToEnd reads a body of unknown length. It is read in pieces that are joined
// at the end: a buffer that grows would hold up to three times the body.
func (p *Reservation) readToEnd(reader io.Reader) ([]byte, error) {
	var pieces [][]byte
	total, size := int64(0), firstPiece
	for {
		if p.held < total+int64(size) && !p.grow(ReservationStepBytes) {
			return nil, ErrBudgetExceeded
		}
		piece, err := readPiece(reader, size)
		pieces = append(pieces, piece)
		total += int64(len(piece))
		switch {
		case errors.Is(err, io.EOF):
			return bytes.Join(pieces, nil), nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, ReservationStepBytes)
	}
}

// readPiece reads up to size bytes. Unlike io.ReadFull it tells the end of the
// body from a body that ended early.
func readPiece(reader io.Reader, size int) ([]byte, error) {
	piece := make([]byte, size)
	read := 0
	for read < size {
		n, err := reader.Read(piece[read:])
		read += n
		if err != nil {
			return piece[:read], err
		}
	}
	return piece, nil
}
