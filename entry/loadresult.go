package entry

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"savorystep"
)

const (
	// The latency histograms range from 1 microsecond to 2 minutes with three
	// significant digits.
	minMicros       = 1
	maxMicros       = 120_000_000
	histogramDigits = 3
	microsPerMilli  = 1000.0
)

// A LoadResult holds the outcomes and latencies of the requests of a load. Requests of
// the warm-up are not counted. Durations in milliseconds are measured from the scheduled
// time of a request.
type LoadResult struct {
	// Duration is the time from the start of the load, warm-up included, to its last
	// outcome.
	Duration time.Duration
	// Sent counts all requests.
	Sent int
	// WrongResponses counts responses that were truncated or belong to another request.
	// LastWrongBody holds the first 200 bytes of the last one.
	WrongResponses int
	LastWrongBody  string
	// FailedResponses counts responses with a status of 500 or higher.
	FailedResponses int
	// RefusedByKind counts requests that failed with an error, by error kind.
	RefusedByKind map[string]int
	// Streams holds the result of each stream.
	Streams []StreamResult
	// ResponsesByEndpoint counts the responses of each endpoint, without
	// FailedResponses.
	ResponsesByEndpoint map[savorystep.EndpointID]int
	// Attempts counts the attempts of all requests with a response, without those of
	// FailedResponses.
	Attempts int

	latencies *hdrhistogram.Histogram
}

// A StreamResult holds the outcomes and latencies of the requests of one stream.
type StreamResult struct {
	Answered  int
	Refused   int
	latencies *hdrhistogram.Histogram
}

// newLoadResult returns an empty result for the given number of streams.
func newLoadResult(streams int) *LoadResult {
	result := &LoadResult{
		RefusedByKind:       make(map[string]int),
		Streams:             make([]StreamResult, streams),
		ResponsesByEndpoint: make(map[savorystep.EndpointID]int),
		latencies:           newHistogram(),
	}
	for i := range result.Streams {
		result.Streams[i].latencies = newHistogram()
	}
	return result
}

// newHistogram returns an empty histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, histogramDigits)
}

// addRefusal counts a request that failed with an error of the given kind.
func (r *LoadResult) addRefusal(arrival Arrival, kind savorystep.Kind) {
	r.Sent++
	r.RefusedByKind[kind.String()]++
	r.Streams[arrival.StreamIndex].Refused++
}

// addResponse counts a response. isMatching says whether it is complete and belongs to the
// request.
func (r *LoadResult) addResponse(arrival Arrival, latency time.Duration, isMatching bool, response *Response) {
	r.Sent++
	if response.Status >= http.StatusInternalServerError {
		r.FailedResponses++
		return
	}
	if !isMatching {
		r.WrongResponses++
		r.LastWrongBody = string(response.Body[:min(len(response.Body), 200)])
	}
	r.Attempts += response.Attempts
	r.ResponsesByEndpoint[savorystep.EndpointID(response.Header.Get(savorystep.HeaderEndpoint))]++
	stream := &r.Streams[arrival.StreamIndex]
	stream.Answered++
	recordLatency(r.latencies, latency)
	recordLatency(stream.latencies, latency)
}

// recordLatency adds a latency to a histogram, limited to the range of the histogram.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), minMicros), maxMicros)
	_ = histogram.RecordValue(micros)
}

// Answered returns the number of responses with a status below 500.
func (r *LoadResult) Answered() int {
	return int(r.latencies.TotalCount())
}

// PercentileMillis returns a percentile, from 0 to 100, of the latencies of all requests
// in milliseconds.
func (r *LoadResult) PercentileMillis(percentile float64) float64 {
	return float64(r.latencies.ValueAtQuantile(percentile)) / microsPerMilli
}

// StreamsPercentileMillis returns a percentile, from 0 to 100, of the latencies in
// milliseconds of the streams for whose index include returns true.
func (r *LoadResult) StreamsPercentileMillis(percentile float64, include func(stream int) bool) float64 {
	merged := newHistogram()
	for i := range r.Streams {
		if include(i) {
			merged.Merge(r.Streams[i].latencies)
		}
	}
	return float64(merged.ValueAtQuantile(percentile)) / microsPerMilli
}

// PercentileMillis returns a percentile, from 0 to 100, of the given latencies in
// milliseconds.
func PercentileMillis(latencies []time.Duration, percentile float64) float64 {
	histogram := newHistogram()
	for _, latency := range latencies {
		recordLatency(histogram, latency)
	}
	return float64(histogram.ValueAtQuantile(percentile)) / microsPerMilli
}
