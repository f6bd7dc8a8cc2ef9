package cmd

import (
	"sync"
	"time"

	"savorystep"
	"savorystep/entry"
)

// A loadReport is the result of one run of the load command. Latencies and times
// are in milliseconds unless their name says otherwise.
type loadReport struct {
	Site     string `json:"site"`
	Scenario string `json:"scenario"`
	// Mode is "entries", or "direct" if requests are sent to endpoints without an
	// entry, or "entries, delays ignored" if clients retry immediately.
	Mode            string  `json:"way"`
	Entries         int     `json:"entries"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"seconds"`
	// OfferedLoad is the offered load as a fraction of the capacity of all slots.
	OfferedLoad       float64 `json:"load"`
	Sent              int     `json:"sent"`
	RequestsPerSecond float64 `json:"rate"`
	// Answered counts responses with a status below 500, and WrongResponses those
	// that were truncated or belong to another request.
	Answered       int `json:"answered"`
	WrongResponses int `json:"wrong"`
	// LastWrongBody is the beginning of the body of the last wrong response.
	LastWrongBody string `json:"wrongBody,omitempty"`
	// FailedResponses counts responses with a status of 500 or higher, and
	// RefusedByKind requests without a response, by error kind.
	FailedResponses int            `json:"failed"`
	RefusedByKind   map[string]int `json:"refused"`
	// RefusedWithFreeSlot counts requests that were refused while the service had a
	// free slot in any region, without those past their deadline.
	RefusedWithFreeSlot int     `json:"refusedFree"`
	P50                 float64 `json:"p50"`
	P99                 float64 `json:"p99"`
	P999                float64 `json:"p999"`
	// The keyed percentiles are of requests with an idempotency key, the unkeyed
	// ones of requests without.
	KeyedP50   float64 `json:"keyed50"`
	KeyedP99   float64 `json:"keyed99"`
	UnkeyedP50 float64 `json:"plain50"`
	UnkeyedP99 float64 `json:"plain99"`
	// StoreLatency is the simulated one-way latency to the platform.
	StoreLatency float64 `json:"store,omitempty"`
	// IdealP50 and IdealP99 are the percentiles of idealLatencies. P50Ratio and
	// P99Ratio are the measured percentiles divided by them.
	IdealP50 float64 `json:"ideal50"`
	IdealP99 float64 `json:"ideal99"`
	P50Ratio float64 `json:"ratio50"`
	P99Ratio float64 `json:"ratio99"`
	// Goodput is the work of answered requests as a fraction of the capacity of all
	// slots.
	Goodput float64 `json:"goodput"`
	// Headroom is the mean fraction of slots that were free during the load, in the
	// service and region where it was lowest. Tightest names these two. A drained
	// region does not count.
	Headroom float64 `json:"headroom"`
	Tightest string  `json:"tightest"`
	// ShedRequests counts the requests that endpoints shed.
	ShedRequests int `json:"sheds"`
	// MeanAttempts is the mean number of attempts at entries per answered request.
	MeanAttempts float64 `json:"sendings"`
	// LastStart and LastEnd are the times from the request for a drain until the last
	// request in the region started and until the last one ended.
	LastStart float64 `json:"lastNew,omitempty"`
	LastEnd   float64 `json:"idle,omitempty"`

	// mu protects RefusedWithFreeSlot during the load.
	mu               sync.Mutex
	drainRequestedAt time.Time
	// freeShareSums are the sums of the fractions of free slots over all samples.
	freeShareSums map[serviceRegion]float64
	sampleCount   int
}

// setResult sets the fields that derive from the result of the load and from the
// ideal latencies.
func (r *loadReport) setResult(result *entry.LoadResult, targets []entry.LoadTarget, idealLatencies []time.Duration) {
	r.Sent = result.Sent
	r.RequestsPerSecond = float64(result.Sent) / result.Duration.Seconds()
	r.Answered = result.Answered()
	r.WrongResponses = result.WrongResponses
	r.LastWrongBody = result.LastWrongBody
	r.FailedResponses = result.FailedResponses
	r.RefusedByKind = result.RefusedByKind
	r.P50 = result.PercentileMillis(50)
	r.P99 = result.PercentileMillis(99)
	r.P999 = result.PercentileMillis(99.9)
	keyed := func(stream int) bool { return targets[stream].Keyed }
	unkeyed := func(stream int) bool { return !targets[stream].Keyed }
	r.KeyedP50 = result.StreamsPercentileMillis(50, keyed)
	r.KeyedP99 = result.StreamsPercentileMillis(99, keyed)
	r.UnkeyedP50 = result.StreamsPercentileMillis(50, unkeyed)
	r.UnkeyedP99 = result.StreamsPercentileMillis(99, unkeyed)
	r.IdealP50 = entry.PercentileMillis(idealLatencies, 50)
	r.IdealP99 = entry.PercentileMillis(idealLatencies, 99)
	r.P50Ratio = ratio(r.P50, r.IdealP50)
	r.P99Ratio = ratio(r.P99, r.IdealP99)
	if r.Answered > 0 {
		r.MeanAttempts = float64(result.Attempts) / float64(r.Answered)
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// countRefusal counts a refusal if the service had a free slot and the deadline of
// the request had not passed.
func (r *loadReport) countRefusal(kind savorystep.Kind, hadFreeSlot bool) {
	if !hadFreeSlot || kind == savorystep.KindDeadlineExceeded {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RefusedWithFreeSlot++
}

// runSampling samples the free slots every 5 ms until stop is closed, and then sets
// the headroom.
func (r *loadReport) runSampling(s *site, stop <-chan struct{}) {
	r.freeShareSums = make(map[serviceRegion]float64)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			r.setHeadroom(s)
			return
		case <-ticker.C:
			r.sampleFreeSlots(s)
		}
	}
}

// sampleFreeSlots adds one sample of the fraction of free slots in each service and
// region.
func (r *loadReport) sampleFreeSlots(s *site) {
	shape := s.config.Shape
	r.sampleCount++
	for _, service := range shape.Services {
		for _, region := range shape.Regions {
			slots := regionSlots(shape, service, region)
			target := serviceRegion{service: service.Service, region: region}
			r.freeShareSums[target] += 1 - float64(s.probe.runningCount(service.Service, region))/float64(slots)
		}
	}
}

// setHeadroom sets Headroom and Tightest from the samples.
func (r *loadReport) setHeadroom(s *site) {
	r.Headroom = 1
	for target, sum := range r.freeShareSums {
		isDrained := r.Scenario == string(scenarioDrain) && target.region == s.config.Shape.DrainedRegion
		if mean := sum / float64(max(1, r.sampleCount)); !isDrained && mean < r.Headroom {
			r.Headroom = mean
			r.Tightest = string(target.service) + "/" + string(target.region)
		}
	}
}
