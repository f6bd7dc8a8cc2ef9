package store

import (
	"sync"
	"time"
)

// The pace of transactions adapts to the share of the platform's write rate
// that this instance can have: it grows with each transaction that is taken
// and shrinks by a third with each one that is refused.
const (
	maxPace   = 1000.0 // transactions per second
	minPace   = 4.0    // transactions per second
	firstPace = 50.0   // transactions per second after the first refusal
	paceStep  = 0.5    // transactions per second gained by a success
	paceCut   = 2.0 / 3
)

// paceCredit is the number of transactions that an instance saves up while it
// makes none, so that a request and its answer do not wait at a low rate.
const paceCredit = 4

// Failures in a row pause the transactions for minPause, doubling to maxPause.
const (
	minPause = 5 * time.Millisecond
	maxPause = time.Second
)

// retryPause returns the pause after a number of failures before the last one.
func retryPause(failures int) time.Duration {
	return min(maxPause, minPause<<min(failures, 8))
}

// pace spaces transactions out.
type pace struct {
	most float64 // transactions per second

	mu       sync.Mutex
	rate     float64
	next     time.Time
	cut      time.Time // when the rate was last cut
	failures int
}

func newPace(most float64) *pace {
	return &pace{most: most, rate: most}
}

// wait returns how long the next transaction must wait and books its place.
func (p *pace) wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := time.Duration(float64(time.Second) / p.rate)
	at := p.next
	if earliest := now.Add(-paceCredit * gap); at.Before(earliest) {
		at = earliest
	}
	p.next = at.Add(gap)
	return at.Sub(now)
}

// taken notes a transaction that was answered.
func (p *pace) taken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	p.rate = min(p.most, p.rate+paceStep)
}

// refused notes a transaction that was sent at a time and refused for its rate.
// Transactions that were sent before the last cut say nothing about the rate
// after it.
func (p *pace) refused(sent, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.Before(p.cut) {
		return
	}
	p.cut = now
	// The first refusal comes at an unknown rate; a tenth of the platform's
	// sustained rate is a share that several instances have.
	p.rate = max(minPace, min(p.rate*paceCut, firstPace))
	p.next = now.Add(time.Duration(float64(time.Second) / p.rate))
}

// failed notes a transaction without an answer.
func (p *pace) failed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = now.Add(retryPause(p.failures))
	p.failures++
}

// failing reports whether the last transactions had no answer.
func (p *pace) failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures >= 3
}
