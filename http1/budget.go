package http1

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// A Budget bounds the bytes of all bodies that are held at the same time, so
// that large bodies that come together do not end the process. It is safe for
// concurrent use.
type Budget struct {
	left *semaphore.Weighted
	held atomic.Int64
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(size int64) *Budget {
	return &Budget{left: semaphore.NewWeighted(size)}
}

// Held returns the bytes that are held.
func (b *Budget) Held() int64 {
	return b.held.Load()
}

// NewPart returns a part that holds nothing yet.
func (b *Budget) NewPart() *Part {
	return &Part{budget: b}
}
