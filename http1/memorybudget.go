package http1

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// A MemoryBudget bounds the bytes of all bodies that are held at the same time, so
// that large bodies that come together do not end the process. It is safe for
// concurrent use.
type MemoryBudget struct {
	left *semaphore.Weighted
	held atomic.Int64
}

// NewMemoryBudget returns a budget of a size in bytes.
func NewMemoryBudget(size int64) *MemoryBudget {
	return &MemoryBudget{left: semaphore.NewWeighted(size)}
}

// UsedBytes returns the bytes that are held.
func (b *MemoryBudget) UsedBytes() int64 {
	return b.held.Load()
}

// NewReservation returns a part that holds nothing yet.
func (b *MemoryBudget) NewReservation() *Reservation {
	return &Reservation{budget: b}
}
