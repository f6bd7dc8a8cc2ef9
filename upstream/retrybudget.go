package upstream

import "sync"

// A retryBudget is a token bucket that requests fill and retries empty. It
// keeps retries to a part of the requests, so that they cannot multiply the
// load of upstreams that fail.
type retryBudget struct {
	mu sync.Mutex
	// tokens and most are in hundredths of a retry.
	tokens  int
	most    int
	percent int
}

// newRetryBudget returns a full bucket.
func newRetryBudget(percent, burst int) *retryBudget {
	return &retryBudget{tokens: burst * 100, most: burst * 100, percent: percent}
}

// fill adds the part of a retry that a request earns.
func (b *retryBudget) fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.most, b.tokens+b.percent)
}

// take reports whether a retry is allowed and counts it.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 100 {
		return false
	}
	b.tokens -= 100
	return true
}
