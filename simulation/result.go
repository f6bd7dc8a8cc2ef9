package simulation

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Result counts how the requests of a run ended.
type Result struct {
	Policy   Policy
	Requests int
	// InTarget and Late count answered requests by whether they met the target
	// latency. Together with Refused and Failed they add up to Requests.
	InTarget, Late, Refused, Failed int
	// Wasted is the time that endpoints spent running requests that then timed out.
	Wasted time.Duration
	// Latencies holds the latencies of answered requests, in microseconds.
	Latencies *hdrhistogram.Histogram
	// MaxColdPerSecond is the highest number of requests that a cold endpoint got in
	// a second. ColdBound is the number that is allowed.
	MaxColdPerSecond int
	ColdBound        float64
	// RetriesOverBound is the highest number of retries in a window beyond the
	// allowed number, negative if there were always fewer.
	RetriesOverBound float64
	// RateLimitExcess is the highest number of requests in rateLimitWindow beyond what
	// the rate limit of an endpoint allows, over the instances that had been told of
	// it. RateLimitWindows is the number of windows that were checked.
	RateLimitExcess  float64
	RateLimitWindows int
	// RequestsAfterLeaving counts the requests to endpoints that had told the instance
	// that they leave, LeavingTold the responses that said so.
	RequestsAfterLeaving, LeavingTold int
	// RequestsWhileClosed counts the requests beyond maxWhileClosed to endpoints that
	// wanted none from the instance, Closings the responses that said so.
	RequestsWhileClosed, Closings int
	// Sheds counts the requests shed by endpoints that never stated a rate limit.
	Sheds int
	// MaxRegionShift is the largest fraction of a region's requests that moved to
	// endpoints of other regions from one window of shiftWindow to the next.
	MaxRegionShift float64
	// Seconds holds the counts of requests by the second in which they were sent.
	Seconds []Second
}

// A Second counts the requests that callers sent in one second of a run.
type Second struct {
	Requests, InTarget, Refused int
}

const (
	// The histogram has a range of 1 microsecond to 2 minutes and a precision of
	// three digits.
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

func newResult(s *Scenario, policy Policy) *Result {
	return &Result{
		Policy: policy, ColdBound: s.Limits.ColdBound(), Latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		RateLimitExcess: math.Inf(-1), Seconds: make([]Second, int(s.Duration/time.Second)+1),
	}
}

// Share returns a count as a fraction of all requests, 0 if there are none.
func (r *Result) Share(count int) float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(count) / float64(r.Requests)
}

// Percentile returns a percentile, from 0 to 100, of the latencies of answered
// requests.
func (r *Result) Percentile(percent float64) time.Duration {
	return time.Duration(r.Latencies.ValueAtPercentile(percent)) * time.Microsecond
}

// Add adds the counts of another run of the same scenario and policy, and takes the
// higher ones of MaxColdPerSecond, RetriesOverBound and RateLimitExcess.
// MaxRegionShift stays that of the first run.
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
	r.RateLimitExcess = max(r.RateLimitExcess, other.RateLimitExcess)
	r.RateLimitWindows += other.RateLimitWindows
	r.RequestsAfterLeaving += other.RequestsAfterLeaving
	r.LeavingTold += other.LeavingTold
	r.RequestsWhileClosed += other.RequestsWhileClosed
	r.Closings += other.Closings
	r.Sheds += other.Sheds
	for i, second := range other.Seconds {
		r.Seconds[i].Requests += second.Requests
		r.Seconds[i].InTarget += second.InTarget
		r.Seconds[i].Refused += second.Refused
	}
}

// shiftWindow is the length of a window of a regionShiftLog.
const shiftWindow = 2 * time.Second

// A regionShiftLog counts in which regions the requests of each region run, in
// windows of shiftWindow.
type regionShiftLog struct {
	// counts is indexed by window, region of the caller and region of the endpoint.
	counts [][][]int
}

// add counts a request that was sent from a region to an endpoint of another or of
// the same region.
func (l *regionShiftLog) add(now time.Duration, regions, from, to int) {
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

// maxShift returns the largest shift of a region between two consecutive windows. The
// first and the last window are ignored, because the first starts without
// measurements and the last is not full.
func (l *regionShiftLog) maxShift() float64 {
	most := 0.0
	for window := 2; window+1 < len(l.counts); window++ {
		for from := range l.counts[window] {
			most = max(most, distributionShift(l.counts[window-1][from], l.counts[window][from]))
		}
	}
	return most
}

// distributionShift returns the total variation distance of two distributions,
// given by their counts.
func distributionShift(before, after []int) float64 {
	sum := func(counts []int) (total float64) {
		for _, count := range counts {
			total += float64(count)
		}
		return max(total, 1)
	}
	shift := 0.0
	for i := range before {
		shift += max(0, float64(after[i])/sum(after)-float64(before[i])/sum(before))
	}
	return shift
}

// A retryLog holds the times of all requests and retries in ascending order.
type retryLog struct {
	requests, retries []time.Duration
}

// maxOverBound returns the highest number of retries in a sliding window beyond
// the number that is allowed for the requests of the same window.
func (l *retryLog) maxOverBound(limits Limits) float64 {
	worst := -limits.RetrySlack
	first, low, high := 0, 0, 0
	for i, at := range l.retries {
		for at-l.retries[first] >= limits.RetryWindow {
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
