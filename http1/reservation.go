package http1

import (
	"bytes"
	"errors"
	"io"
)

// ReservationStepBytes is by how much the reservation for a body of unknown
// length grows.
const ReservationStepBytes = 64 << 10

// firstChunkBytes is the size of the first chunk of a body of unknown length,
// which holds most bodies. Each further chunk is twice as large, up to
// ReservationStepBytes.
const firstChunkBytes = 4 << 10

// ErrBudgetExceeded is the error of a body that does not fit the memory budget.
var ErrBudgetExceeded = errors.New("too many bodies are held")

// A Reservation is the share of a memory budget that one body uses.
type Reservation struct {
	budget *MemoryBudget
	bytes  int64
}

// reserve adds size bytes to the reservation. It returns false if the budget does
// not have them.
func (r *Reservation) reserve(size int64) bool {
	if !r.budget.available.TryAcquire(size) {
		return false
	}
	r.bytes += size
	r.budget.usedBytes.Add(size)
	return true
}

// Release returns all bytes to the budget. It may be called more than once.
func (r *Reservation) Release() {
	r.budget.available.Release(r.bytes)
	r.budget.usedBytes.Add(-r.bytes)
	r.bytes = 0
}

// ReadAll reads a body of length bytes, or to its end if length is negative, and
// reserves memory for it. The error is ErrBudgetExceeded if the budget does not
// suffice.
func (r *Reservation) ReadAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return r.readUnknownLength(reader)
	}
	if !r.reserve(length) {
		return nil, ErrBudgetExceeded
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// readUnknownLength reads a body to its end. It reads chunks and joins them at the
// end, because a growing buffer would use up to three times the size of the body.
func (r *Reservation) readUnknownLength(reader io.Reader) ([]byte, error) {
	var chunks [][]byte
	total, size := int64(0), firstChunkBytes
	for {
		if r.bytes < total+int64(size) && !r.reserve(ReservationStepBytes) {
			return nil, ErrBudgetExceeded
		}
		chunk, err := readChunk(reader, size)
		chunks = append(chunks, chunk)
		total += int64(len(chunk))
		switch {
		case errors.Is(err, io.EOF):
			return bytes.Join(chunks, nil), nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, ReservationStepBytes)
	}
}

// readChunk reads up to size bytes. Unlike io.ReadFull, it returns the reader's
// own error, which distinguishes the end of the body from a truncated body.
func readChunk(reader io.Reader, size int) ([]byte, error) {
	chunk := make([]byte, size)
	filled := 0
	for filled < size {
		n, err := reader.Read(chunk[filled:])
		filled += n
		if err != nil {
			return chunk[:filled], err
		}
	}
	return chunk, nil
}
