package upstream

import "sync"

// A retryBudget is a token bucket into which requests deposit and from which
// retries withdraw. It limits retries to a fraction of the requests, so that
// they do not multiply the load on failing upstreams.
type retryBudget struct {
	mu sync.Mutex
	// tokens and capacity are in hundredths of a retry.
	tokens   int
	capacity int
	percent  int
}

// newRetryBudget returns a full budget.
func newRetryBudget(percent, burst int) *retryBudget {
	return &retryBudget{tokens: burst * 100, capacity: burst * 100, percent: percent}
}

// deposit adds the fraction of a retry that a request allows.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.percent)
}

// withdraw takes one retry from the budget and reports whether it held one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 100 {
		return false
	}
	b.tokens -= 100
	return true
}
