package endpoint

import (
	"time"

	"savorystep"
)

const (
	// budgetSteps is how many steps a window is counted in. The window slides
	// by a step, so one step more is counted.
	budgetSteps = 20
	// budgetShare is the part of the bound that is used. The rest covers
	// requests that other instances count in another step.
	budgetShare = 0.8
)

// A retryBudget counts the requests of a service and their repeats over a
// sliding window.
type retryBudget struct {
	step     time.Duration
	first    int64
	requests [budgetSteps + 1]int
	repeats  [budgetSteps + 1]int
}

func newRetryBudget(window time.Duration) *retryBudget {
	return &retryBudget{step: max(window/budgetSteps, time.Millisecond)}
}

// at returns the index of the present step and clears those that are over.
func (b *retryBudget) at(now time.Time) int {
	const size = budgetSteps + 1
	number := now.UnixNano() / int64(b.step)
	if number-b.first > size {
		b.first = number - size
	}
	for ; b.first < number; b.first++ {
		i := (b.first + 1) % size
		b.requests[i], b.repeats[i] = 0, 0
	}
	return int(number % size)
}

func sum(counts []int) float64 {
	total := 0
	for _, count := range counts {
		total += count
	}
	return float64(total)
}

// budget returns the budget of a service.
func (t *Table) budget(service savorystep.Service) *retryBudget {
	b := t.budgets[service]
	if b == nil {
		b = newRetryBudget(t.config.RetryWindow)
		t.budgets[service] = b
	}
	return b
}

// CountRequest counts a request for a service.
func (t *Table) CountRequest(now time.Time, service savorystep.Service) {
	b := t.budget(service)
	b.requests[b.at(now)]++
}

// AllowRetry reports whether a request for a service may be sent once more, and
// counts it if so. Each instance uses its own part of the bound: the ratio of
// its own requests and an equal part of the rest.
func (t *Table) AllowRetry(now time.Time, service savorystep.Service) bool {
	b := t.budget(service)
	i := b.at(now)
	instances := float64(max(len(t.instances), leastInstances))
	allowed := budgetShare * (t.config.RetryRatio*sum(b.requests[:]) + t.config.RetrySlack/instances)
	if sum(b.repeats[:])+1 > allowed {
		return false
	}
	b.repeats[i]++
	return true
}
