package http1

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// A MemoryBudget bounds the memory of all message bodies held at the same time,
// so that many large bodies do not exhaust the memory of the process. It is safe
// for concurrent use.
type MemoryBudget struct {
	available *semaphore.Weighted
	usedBytes atomic.Int64
}

// NewMemoryBudget returns a budget of size bytes.
func NewMemoryBudget(size int64) *MemoryBudget {
	return &MemoryBudget{available: semaphore.NewWeighted(size)}
}

// UsedBytes returns the number of bytes reserved at present.
func (b *MemoryBudget) UsedBytes() int64 {
	return b.usedBytes.Load()
}

// NewReservation returns an empty reservation, which grows as a body is read.
func (b *MemoryBudget) NewReservation() *Reservation {
	return &Reservation{budget: b}
}
