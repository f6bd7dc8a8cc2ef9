package entry

import (
	"container/heap"
	"time"
)

// CentralQueueTimes returns the time in the system of each arrival at one queue
// before the given number of slots, the bound that a dispatcher with exact
// knowledge reaches. The arrivals must be in order of time.
func CentralQueueTimes(arrivals []Arrival, slots int) []time.Duration {
	free := make(timeHeap, slots)
	times := make([]time.Duration, 0, len(arrivals))
	for _, arrival := range arrivals {
		start := max(arrival.Offset, free[0])
		end := start + arrival.ExecutionTime
		free[0] = end
		heap.Fix(&free, 0)
		times = append(times, end-arrival.Offset)
	}
	return times
}

// A timeHeap holds the times at which slots are free, the first one on top.
type timeHeap []time.Duration

// Len returns the number of slots.
func (h timeHeap) Len() int { return len(h) }

// Less orders slots by time.
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }

// Swap swaps two slots.
func (h timeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a slot.
func (h *timeHeap) Push(x any) {
	if at, ok := x.(time.Duration); ok {
		*h = append(*h, at)
	}
}

// Pop removes the last slot.
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
