package entry

import (
	"container/heap"
	"time"
)

// CentralQueueTimes returns the response time, waiting included, of each arrival in a
// system with a single first-in first-out queue for all slots. A dispatcher with exact
// knowledge of all endpoints reaches these times, so measurements are compared with them
// as the ideal. The arrivals must be in order of time.
func CentralQueueTimes(arrivals []Arrival, slots int) []time.Duration {
	freeAt := make(timeHeap, slots)
	times := make([]time.Duration, 0, len(arrivals))
	for _, arrival := range arrivals {
		start := max(arrival.Offset, freeAt[0])
		end := start + arrival.ExecutionTime
		freeAt[0] = end
		heap.Fix(&freeAt, 0)
		times = append(times, end-arrival.Offset)
	}
	return times
}

// A timeHeap is a min-heap of the times at which each slot becomes free. It implements
// heap.Interface.
type timeHeap []time.Duration

// Len returns the number of slots.
func (h timeHeap) Len() int { return len(h) }

// Less reports whether slot i becomes free before slot j.
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }

// Swap exchanges slots i and j.
func (h timeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends the slot that becomes free at time x.
func (h *timeHeap) Push(x any) {
	if freeAt, ok := x.(time.Duration); ok {
		*h = append(*h, freeAt)
	}
}

// Pop removes and returns the last slot.
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
