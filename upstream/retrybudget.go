package upstream

import "sync"

// A retryBudget is a token bucket that requests fill and retries empty. It
// keeps retries to a part of the requests, so that they cannot multiply the
// load of upstreams that fail.
type retryBudget struct {
	mu sync.Mutex
	// tokens and most are in hundredths of a retry.
	tokens   int
	capacity int
	percent  int
}

// newRetryBudget returns a full bucket.
func newRetryBudget(percent, burst int) *retryBudget {
	return &retryBudget{tokens: burst * 100, capacity: burst * 100, percent: percent}
}

// fill adds the part of a retry that a request earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.percent)
}

// take reports whether a retry is allowed and counts it.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 100 {
		return false
	}
	b.tokens -= 100
	return true
}
