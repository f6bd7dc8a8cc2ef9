package store

import (
	"sync"
	"time"
)

// The pace of transactions adapts to the share of the platform's write rate
// that this instance can have: it grows with each transaction that is taken
// and shrinks by a third with each one that is refused.
const (
	maxTransactionRate  = 1000.0 // transactions per second
	minTransactionRate  = 4.0    // transactions per second
	maxRateAfterRefusal = 50.0   // transactions per second after the first refusal
	rateIncrease        = 0.5    // transactions per second gained by a success
	rateDecreaseFactor  = 2.0 / 3
)

// paceCredit is the number of transactions that an instance saves up while it
// makes none, so that a request and its answer do not wait at a low rate.
const burstTransactions = 4

// Failures in a row pause the transactions for minPause, doubling to maxPause.
const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = time.Second
)

// retryPause returns the pause after a number of failures before the last one.
func retryDelay(failures int) time.Duration {
	return min(maxRetryDelay, minRetryDelay<<min(failures, 8))
}

// pace spaces transactions out.
type transactionLimiter struct {
	maxRate float64 // transactions per second

	mu                  sync.Mutex
	rate                float64
	nextAt              time.Time
	lastDecrease        time.Time // when the rate was last cut
	consecutiveFailures int
}

func newTransactionLimiter(maxRate float64) *transactionLimiter {
	return &transactionLimiter{maxRate: maxRate, rate: maxRate}
}

// wait returns how long the next transaction must wait and books its place.
func (p *transactionLimiter) waitTime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := time.Duration(float64(time.Second) / p.rate)
	start := p.nextAt
	if earliest := now.Add(-burstTransactions * interval); start.Before(earliest) {
		start = earliest
	}
	p.nextAt = start.Add(interval)
	return start.Sub(now)
}

// taken notes a transaction that was answered.
func (p *transactionLimiter) recordSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.consecutiveFailures = 0
	p.rate = min(p.maxRate, p.rate+rateIncrease)
}

// refused notes a transaction that was sent at a time and refused for its rate.
// Transactions that were sent before the last cut say nothing about the rate
// after it.
func (p *transactionLimiter) recordRefusal(sentAt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sentAt.Before(p.lastDecrease) {
		return
	}
	p.lastDecrease = now
	// The first refusal comes at an unknown rate; a tenth of the platform's
	// sustained rate is a share that several instances have.
	p.rate = max(minTransactionRate, min(p.rate*rateDecreaseFactor, maxRateAfterRefusal))
	p.nextAt = now.Add(time.Duration(float64(time.Second) / p.rate))
}

// failed notes a transaction without an answer.
func (p *transactionLimiter) recordFailure(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextAt = now.Add(retryDelay(p.consecutiveFailures))
	p.consecutiveFailures++
}

// failing reports whether the last transactions had no answer.
func (p *transactionLimiter) isFailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.consecutiveFailures >= 3
}
