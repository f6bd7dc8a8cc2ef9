package endpoint

import (
	"time"

	"savorystep"
)

const (
	// budgetBuckets is the number of buckets of a window. One more bucket is
	// counted, since the window slides by whole buckets.
	budgetBuckets = 20
	// budgetUtilization is the fraction of the budget that is used. The remainder
	// covers requests that other instances count in another bucket.
	budgetUtilization = 0.8
	// replacementUtilization is the fraction that is used in the first window of an
	// instance that may replace others, which may have used budgetUtilization.
	replacementUtilization = 1 - budgetUtilization
)

// A retryBudget counts the requests of a service and their retries over a sliding
// window.
type retryBudget struct {
	bucketWidth time.Duration
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest   int64
	requests [budgetBuckets + 1]int
	retries  [budgetBuckets + 1]int
}

func newRetryBudget(window time.Duration) *retryBudget {
	return &retryBudget{bucketWidth: max(window/budgetBuckets, time.Millisecond)}
}

// advance returns the index of the current bucket and clears the buckets that are
// no longer in the window.
func (b *retryBudget) advance(now time.Time) int {
	const size = budgetBuckets + 1
	current := now.UnixNano() / int64(b.bucketWidth)
	if current-b.newest > size {
		b.newest = current - size
	}
	for ; b.newest < current; b.newest++ {
		i := (b.newest + 1) % size
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(current % size)
}

func sum(counts []int) float64 {
	total := 0
	for _, count := range counts {
		total += count
	}
	return float64(total)
}

// budget returns the retry budget of a service.
func (t *Table) budget(service savorystep.Service) *retryBudget {
	b := t.retryBudgets[service]
	if b == nil {
		b = newRetryBudget(t.config.RetryWindow)
		t.retryBudgets[service] = b
	}
	return b
}

// CountRequest counts a request for a service towards its retry budget.
func (t *Table) CountRequest(now time.Time, service savorystep.Service) {
	b := t.budget(service)
	b.requests[b.advance(now)]++
}

// AllowRetry reports whether the retry budget allows another retry of a request
// for a service, and takes the retry from the budget if so. Each instance uses its
// own part of the budget: the ratio of its own requests and an equal share of the
// slack.
func (t *Table) AllowRetry(now time.Time, service savorystep.Service) bool {
	b := t.budget(service)
	i := b.advance(now)
	if sum(b.retries[:])+1 > t.allowedRetries(now, b) {
		return false
	}
	b.retries[i]++
	return true
}

// allowedRetries returns the number of retries that a budget allows in the window that
// ends now. An instance that may replace others gets its share of the slack bit by bit,
// so that a series of starts does not add up to several shares.
func (t *Table) allowedRetries(now time.Time, b *retryBudget) float64 {
	slack := t.config.RetrySlack / float64(max(len(t.instanceSeenAt), minInstances))
	utilization := budgetUtilization
	if age, window := now.Sub(t.startedAt), t.config.RetryWindow+b.bucketWidth; t.config.MayReplace && age < window {
		utilization = replacementUtilization
		slack *= float64(age) / float64(window)
	}
	return utilization * (t.config.RetryRatio*sum(b.requests[:]) + slack)
}
