package cmd

import (
	"sync"
	"time"

	"savorystep"
	"savorystep/entry"
)

// A loadReport is the outcome of one run of the load command. Times are in
// milliseconds, rates in requests per second.
type loadReport struct {
	Site            string  `json:"site"`
	Scenario        string  `json:"scenario"`
	Mode            string  `json:"way"`
	Entries         int     `json:"entries"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"seconds"`
	// OfferedLoad is the offered load as a part of all slots.
	OfferedLoad       float64 `json:"load"`
	Sent              int     `json:"sent"`
	RequestsPerSecond float64 `json:"rate"`
	// Answered and Wrong count answers, Refused requests by error kind.
	Answered       int `json:"answered"`
	WrongResponses int `json:"wrong"`
	// LastWrongBody is the beginning of the last wrong answer.
	LastWrongBody string `json:"wrongBody,omitempty"`
	// FailedResponses counts errors that upstreams answered with.
	FailedResponses int            `json:"failed"`
	RefusedByKind   map[string]int `json:"refused"`
	// RefusedWithFreeSlot counts requests that were refused while a region with a
	// share had a free slot of the service.
	RefusedWithFreeSlot int     `json:"refusedFree"`
	P50                 float64 `json:"p50"`
	P99                 float64 `json:"p99"`
	P999                float64 `json:"p999"`
	// KeyedP50 and Plain50 are the medians of requests with and without a key.
	KeyedP50   float64 `json:"keyed50"`
	KeyedP99   float64 `json:"keyed99"`
	UnkeyedP50 float64 `json:"plain50"`
	UnkeyedP99 float64 `json:"plain99"`
	// StoreLatency is the one-way latency to the platform.
	StoreLatency float64 `json:"store,omitempty"`
	// IdealP50 and Ideal99 are those of one queue with exact knowledge before
	// the slots of each service and region, plus the shortest links.
	IdealP50 float64 `json:"ideal50"`
	IdealP99 float64 `json:"ideal99"`
	P50Ratio float64 `json:"ratio50"`
	P99Ratio float64 `json:"ratio99"`
	// Goodput is the work answered in time as a part of all slots.
	Goodput float64 `json:"goodput"`
	// Headroom is the share of free slots, as the mean over the load, of the
	// tightest service and region that is not drained.
	Headroom float64 `json:"headroom"`
	Tightest string  `json:"tightest"`
	// ShedRequests counts requests that endpoints shed.
	ShedRequests int `json:"sheds"`
	// MeanAttempts is the mean number of times that a request was sent to an entry.
	MeanAttempts float64 `json:"sendings"`
	// LastStart and Idle are the times from a drain's order to the last new
	// request in the region and to its last running one.
	LastStart float64 `json:"lastNew,omitempty"`
	LastEnd   float64 `json:"idle,omitempty"`

	mu             sync.Mutex
	drainOrderedAt time.Time
	freeShareSums  map[serviceRegion]float64
	sampleCount    int
}

// setResult takes the figures from the result of a load.
func (r *loadReport) setResult(result *entry.LoadResult, targets []entry.LoadTarget, ideal []time.Duration) {
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
	plain := func(stream int) bool { return !targets[stream].Keyed }
	r.KeyedP50 = result.StreamsPercentileMillis(50, keyed)
	r.KeyedP99 = result.StreamsPercentileMillis(99, keyed)
	r.UnkeyedP50 = result.StreamsPercentileMillis(50, plain)
	r.UnkeyedP99 = result.StreamsPercentileMillis(99, plain)
	r.IdealP50 = entry.PercentileMillis(ideal, 50)
	r.IdealP99 = entry.PercentileMillis(ideal, 99)
	r.P50Ratio = ratio(r.P50, r.IdealP50)
	r.P99Ratio = ratio(r.P99, r.IdealP99)
	if r.Answered > 0 {
		r.MeanAttempts = float64(result.Attempts) / float64(r.Answered)
	}
}

// ratio returns a quotient, 0 if it has no value.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// countRefusal counts a refusal and whether slots were free.
func (r *loadReport) countRefusal(kind savorystep.Kind, free bool) {
	if !free || kind == savorystep.KindDeadlineExceeded {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RefusedWithFreeSlot++
}

// runSampling samples the free slots until stop is closed.
func (r *loadReport) runSampling(on *site, stop <-chan struct{}) {
	r.freeShareSums = make(map[serviceRegion]float64)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			r.setHeadroom(on)
			return
		case <-ticker.C:
			r.sampleFreeSlots(on)
		}
	}
}

// sampleFreeSlots takes one sampleFreeSlots of the free slots.
func (r *loadReport) sampleFreeSlots(on *site) {
	shape := on.config.Shape
	r.sampleCount++
	for _, service := range shape.Services {
		for _, region := range shape.Regions {
			slots := regionSlots(shape, service, region)
			target := serviceRegion{service: service.Service, region: region}
			r.freeShareSums[target] += 1 - float64(on.probe.runningCount(service.Service, region))/float64(slots)
		}
	}
}

// setHeadroom takes the mean free slots of the tightest service and region.
func (r *loadReport) setHeadroom(on *site) {
	r.Headroom = 1
	for target, sum := range r.freeShareSums {
		drained := r.Scenario == string(scenarioDrain) && target.region == on.config.Shape.DrainedRegion
		if mean := sum / float64(max(1, r.sampleCount)); !drained && mean < r.Headroom {
			r.Headroom = mean
			r.Tightest = string(target.service) + "/" + string(target.region)
		}
	}
}
