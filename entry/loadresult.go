package entry

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"savorystep"
)

const (
	// The histograms hold 1 microsecond to 2 minutes with three digits.
	lowestMicros   = 1
	highestMicros  = 120_000_000
	histogramDigit = 3
	microsPerMilli = 1000.0
)

// A LoadResult is what became of the requests of a load.
type LoadResult struct {
	Duration time.Duration
	// Sent counts the requests after the warm-up.
	Sent int
	// WrongResponses counts answers that were not whole or another request's, the last
	// of which is WrongBody.
	WrongResponses int
	LastWrongBody  string
	// FailedResponses counts errors that upstreams answered with.
	FailedResponses int
	// RefusedByKind counts requests without an answer by error kind.
	RefusedByKind map[string]int
	// Streams are the results by stream.
	Streams []StreamResult
	// ResponsesByEndpoint counts the answers of each endpoint.
	ResponsesByEndpoint map[savorystep.EndpointID]int
	// Attempts counts how often requests were sent to entries.
	Attempts int

	all *hdrhistogram.Histogram
}

// A StreamResult is what became of the requests of one stream.
type StreamResult struct {
	Answered int
	Refused  int
	hist     *hdrhistogram.Histogram
}

// newLoadResult returns an empty result.
func newLoadResult(streams int) *LoadResult {
	result := &LoadResult{
		RefusedByKind:       make(map[string]int),
		Streams:             make([]StreamResult, streams),
		ResponsesByEndpoint: make(map[savorystep.EndpointID]int),
		all:                 newHistogram(),
	}
	for i := range result.Streams {
		result.Streams[i].hist = newHistogram()
	}
	return result
}

// newHistogram returns an empty histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, histogramDigit)
}

// addRefusal counts a request without an answer.
func (r *LoadResult) addRefusal(arrival Arrival, kind savorystep.Kind) {
	r.Sent++
	r.RefusedByKind[kind.String()]++
	r.Streams[arrival.StreamIndex].Refused++
}

// addAnswer counts an answer.
func (r *LoadResult) addAnswer(arrival Arrival, took time.Duration, own bool, response *Response) {
	r.Sent++
	if response.Status >= http.StatusInternalServerError {
		r.FailedResponses++
		return
	}
	if !own {
		r.WrongResponses++
		r.LastWrongBody = string(response.Body[:min(len(response.Body), 200)])
	}
	r.Attempts += response.Attempts
	r.ResponsesByEndpoint[savorystep.EndpointID(response.Header.Get(savorystep.HeaderEndpoint))]++
	stream := &r.Streams[arrival.StreamIndex]
	stream.Answered++
	record(r.all, took)
	record(stream.hist, took)
}

// record records a time, at most the highest that the histogram holds.
func record(histogram *hdrhistogram.Histogram, took time.Duration) {
	micros := min(max(took.Microseconds(), lowestMicros), highestMicros)
	_ = histogram.RecordValue(micros)
}

// Answered returns how many requests were answered.
func (r *LoadResult) Answered() int {
	return int(r.all.TotalCount())
}

// PercentileMillis returns a percentile of the latency in milliseconds.
func (r *LoadResult) PercentileMillis(percentile float64) float64 {
	return float64(r.all.ValueAtQuantile(percentile)) / microsPerMilli
}

// StreamsPercentileMillis returns a percentile of the latency of the streams that are picked, in
// milliseconds.
func (r *LoadResult) StreamsPercentileMillis(percentile float64, pick func(stream int) bool) float64 {
	merged := newHistogram()
	for i := range r.Streams {
		if pick(i) {
			merged.Merge(r.Streams[i].hist)
		}
	}
	return float64(merged.ValueAtQuantile(percentile)) / microsPerMilli
}

// PercentileMillis returns a percentile of times in milliseconds.
func PercentileMillis(times []time.Duration, percentile float64) float64 {
	histogram := newHistogram()
	for _, took := range times {
		record(histogram, took)
	}
	return float64(histogram.ValueAtQuantile(percentile)) / microsPerMilli
}
