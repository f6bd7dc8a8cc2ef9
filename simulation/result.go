package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Result is what became of the requests of a run.
type Result struct {
	Policy   Policy
	Requests int
	// InTarget, Late, Refused and Failed add up to Requests.
	InTarget, Late, Refused, Failed int
	// Wasted is the work of endpoints that ended without an answer.
	Wasted time.Duration
	// Latencies are those of answers, in microseconds.
	Latencies *hdrhistogram.Histogram
	// MaxColdPerSecond is the most requests at a cold endpoint in a second, ColdBound how
	// many are allowed.
	MaxColdPerSecond int
	ColdBound        float64
	// RetriesOverBound is the most repeats in a window beyond what is allowed, negative
	// if there were always fewer.
	RetriesOverBound float64
	// MaxRegionShift is the largest part of a region's requests that changed the region
	// in which they run from one window of shiftWindow to the next.
	MaxRegionShift float64
	// Seconds are the answers in target of each second's requests.
	Seconds []Second
}

// A Second counts the requests that arrived in one second.
type Second struct {
	Requests, InTarget, Refused int
}

const (
	// The histogram holds 1 microsecond to 2 minutes with three digits.
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

func newResult(s *Scenario, way Policy) *Result {
	return &Result{
		Policy: way, ColdBound: s.Limits.ColdBound(), Latencies: hdrhistogram.New(lowestMicros, highestMicros, digits),
		Seconds: make([]Second, int(s.Duration/time.Second)+1),
	}
}

// Share returns a count as a share of all requests.
func (r *Result) Share(count int) float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(count) / float64(r.Requests)
}

// Percentile returns a percentile of the latencies of answers.
func (r *Result) Percentile(percent float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtPercentile(percent)) * time.Microsecond
}

// Add adds the counts of another run of the same way.
func (r *Result) Add(other *Result) {
	r.Requests += other.Requests
	r.InTarget += other.InTarget
	r.Late += other.Late
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Wasted += other.Wasted
	r.Latencies.Merge(other.Latencies)
	r.MaxColdPerSecond = max(r.MaxColdPerSecond, other.MaxColdPerSecond)
	r.RetriesOverBound = max(r.RetriesOverBound, other.RetriesOverBound)
	for i, second := range other.Seconds {
		r.Seconds[i].Requests += second.Requests
		r.Seconds[i].InTarget += second.InTarget
		r.Seconds[i].Refused += second.Refused
	}
}

// shiftWindow is the time of one window of a shiftLog.
const shiftWindow = 2 * time.Second

// A shiftLog counts where the requests of each region run, in windows.
type shiftLog struct {
	// counts are by window, region of the caller and region of the endpoint.
	counts [][][]int
}

// add counts a request that an endpoint got.
func (l *shiftLog) add(now time.Duration, regions, from, to int) {
	window := int(now / shiftWindow)
	for len(l.counts) <= window {
		counts := make([][]int, regions)
		for i := range counts {
			counts[i] = make([]int, regions)
		}
		l.counts = append(l.counts, counts)
	}
	l.counts[window][from][to]++
}

// most returns the largest part that changed between two windows. The first and
// the last window are left out, since they are not full or start cold.
func (l *shiftLog) most() float64 {
	most := 0.0
	for window := 2; window+1 < len(l.counts); window++ {
		for from := range l.counts[window] {
			most = max(most, changed(l.counts[window-1][from], l.counts[window][from]))
		}
	}
	return most
}

// changed returns the part by which two distributions differ.
func changed(before, after []int) float64 {
	sum := func(counts []int) (total float64) {
		for _, count := range counts {
			total += float64(count)
		}
		return max(total, 1)
	}
	part := 0.0
	for i := range before {
		part += max(0, float64(after[i])/sum(after)-float64(before[i])/sum(before))
	}
	return part
}

// A repeatLog holds the times of requests and repeats.
type repeatLog struct {
	requests, repeats []time.Duration
}

// over returns the most repeats beyond the bound in a sliding window. Requests
// are those of the window.
func (l *repeatLog) over(limits Limits) float64 {
	worst := -limits.RetrySlack
	first, low, high := 0, 0, 0
	for i, at := range l.repeats {
		for at-l.repeats[first] >= limits.RetryWindow {
			first++
		}
		for high < len(l.requests) && l.requests[high] <= at {
			high++
		}
		for low < high && at-l.requests[low] >= limits.RetryWindow {
			low++
		}
		allowed := limits.RetryRatio*float64(high-low) + limits.RetrySlack
		worst = max(worst, float64(i-first+1)-allowed)
	}
	return worst
}
