package store

import (
	"sync"
	"time"
)

// The transaction rate adapts to the part of the platform's write rate that is
// available to this instance. It increases by a constant with each accepted
// transaction and decreases by a third with each refused one.
const (
	maxTransactionRate  = 1000.0 // transactions per second
	minTransactionRate  = 4.0    // transactions per second
	maxRateAfterRefusal = 50.0   // transactions per second after the first refusal
	rateIncrease        = 0.5    // transactions per second for each success
	rateDecreaseFactor  = 2.0 / 3
)

// burstTransactions is the number of transactions that an instance may send
// without delay after a pause, so that at a low rate the two writes of a keyed
// request don't wait for each other.
const burstTransactions = 4

// Consecutive failures delay the next transaction by minRetryDelay, doubling up
// to maxRetryDelay.
const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = time.Second
)

// retryDelay returns the delay after a failure that follows the given number of
// earlier consecutive failures.
func retryDelay(failures int) time.Duration {
	return min(maxRetryDelay, minRetryDelay<<min(failures, 8))
}

// A transactionLimiter limits the rate of transactions.
type transactionLimiter struct {
	maxRate float64 // transactions per second

	mu                  sync.Mutex
	rate                float64
	nextAt              time.Time
	lastDecrease        time.Time
	consecutiveFailures int
}

func newTransactionLimiter(maxRate float64) *transactionLimiter {
	return &transactionLimiter{maxRate: maxRate, rate: maxRate}
}

// waitTime returns how long the next transaction must wait and reserves its
// slot.
func (l *transactionLimiter) waitTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := time.Duration(float64(time.Second) / l.rate)
	start := l.nextAt
	if earliest := now.Add(-burstTransactions * interval); start.Before(earliest) {
		start = earliest
	}
	l.nextAt = start.Add(interval)
	return start.Sub(now)
}

// recordSuccess records that the platform executed a transaction.
func (l *transactionLimiter) recordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.consecutiveFailures = 0
	l.rate = min(l.maxRate, l.rate+rateIncrease)
}

// recordRefusal records that the platform refused a transaction for its rate.
// Transactions that were sent before the last decrease say nothing about the
// current rate.
func (l *transactionLimiter) recordRefusal(sentAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sentAt.Before(l.lastDecrease) {
		return
	}
	l.lastDecrease = now
	// The rate before the first refusal has no relation to the platform's
	// limit. A tenth of the platform's sustained rate is a share that several
	// instances can have.
	l.rate = max(minTransactionRate, min(l.rate*rateDecreaseFactor, maxRateAfterRefusal))
	l.nextAt = now.Add(time.Duration(float64(time.Second) / l.rate))
}

// recordFailure records that a transaction got no response.
func (l *transactionLimiter) recordFailure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextAt = now.Add(retryDelay(l.consecutiveFailures))
	l.consecutiveFailures++
}

// isFailing reports whether at least the last three transactions got no
// response.
func (l *transactionLimiter) isFailing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.consecutiveFailures >= 3
}
