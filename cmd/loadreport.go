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
	Site     string  `json:"site"`
	Scenario string  `json:"scenario"`
	Way      string  `json:"way"`
	Entries  int     `json:"entries"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	// Load is the offered load as a part of all slots.
	Load float64 `json:"load"`
	Sent int     `json:"sent"`
	Rate float64 `json:"rate"`
	// Answered and Wrong count answers, Refused requests by error kind.
	Answered int `json:"answered"`
	Wrong    int `json:"wrong"`
	// WrongBody is the beginning of the last wrong answer.
	WrongBody string `json:"wrongBody,omitempty"`
	// Failed counts errors that upstreams answered with.
	Failed  int            `json:"failed"`
	Refused map[string]int `json:"refused"`
	// RefusedFree counts requests that were refused while a region with a
	// share had a free slot of the service.
	RefusedFree int     `json:"refusedFree"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
	P999        float64 `json:"p999"`
	// Keyed50 and Plain50 are the medians of requests with and without a key.
	Keyed50 float64 `json:"keyed50"`
	Keyed99 float64 `json:"keyed99"`
	Plain50 float64 `json:"plain50"`
	Plain99 float64 `json:"plain99"`
	// Store is the one-way latency to the platform.
	Store float64 `json:"store,omitempty"`
	// Ideal50 and Ideal99 are those of one queue with exact knowledge before
	// the slots of each service and region, plus the shortest links.
	Ideal50 float64 `json:"ideal50"`
	Ideal99 float64 `json:"ideal99"`
	Ratio50 float64 `json:"ratio50"`
	Ratio99 float64 `json:"ratio99"`
	// Goodput is the work answered in time as a part of all slots.
	Goodput float64 `json:"goodput"`
	// Headroom is the share of free slots, as the mean over the load, of the
	// tightest service and region that is not drained.
	Headroom float64 `json:"headroom"`
	Tightest string  `json:"tightest"`
	// Sheds counts requests that endpoints shed.
	Sheds int `json:"sheds"`
	// Sendings is the mean number of times that a request was sent to an entry.
	Sendings float64 `json:"sendings"`
	// LastNew and Idle are the times from a drain's order to the last new
	// request in the region and to its last running one.
	LastNew float64 `json:"lastNew,omitempty"`
	Idle    float64 `json:"idle,omitempty"`

	mu      sync.Mutex
	ordered time.Time
	free    map[flowTarget]float64
	samples int
}

// fill takes the figures from the result of a load.
func (r *loadReport) fill(result *entry.LoadResult, targets []entry.LoadTarget, ideal []time.Duration) {
	r.Sent = result.Sent
	r.Rate = float64(result.Sent) / result.Duration.Seconds()
	r.Answered = result.Answered()
	r.Wrong = result.WrongResponses
	r.WrongBody = result.LastWrongBody
	r.Failed = result.FailedResponses
	r.Refused = result.RefusedByKind
	r.P50 = result.PercentileMillis(50)
	r.P99 = result.PercentileMillis(99)
	r.P999 = result.PercentileMillis(99.9)
	keyed := func(stream int) bool { return targets[stream].Keyed }
	plain := func(stream int) bool { return !targets[stream].Keyed }
	r.Keyed50 = result.StreamsPercentileMillis(50, keyed)
	r.Keyed99 = result.StreamsPercentileMillis(99, keyed)
	r.Plain50 = result.StreamsPercentileMillis(50, plain)
	r.Plain99 = result.StreamsPercentileMillis(99, plain)
	r.Ideal50 = entry.PercentileMillis(ideal, 50)
	r.Ideal99 = entry.PercentileMillis(ideal, 99)
	r.Ratio50 = ratio(r.P50, r.Ideal50)
	r.Ratio99 = ratio(r.P99, r.Ideal99)
	if r.Answered > 0 {
		r.Sendings = float64(result.Attempts) / float64(r.Answered)
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
	r.RefusedFree++
}

// watch samples the free slots until stop is closed.
func (r *loadReport) watch(on *site, stop <-chan struct{}) {
	r.free = make(map[flowTarget]float64)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			r.fillHeadroom(on)
			return
		case <-ticker.C:
			r.sample(on)
		}
	}
}

// sample takes one sample of the free slots.
func (r *loadReport) sample(on *site) {
	shape := on.config.Shape
	r.samples++
	for _, service := range shape.Services {
		for _, region := range shape.Regions {
			slots := regionSlots(shape, service, region)
			target := flowTarget{service: service.Service, region: region}
			r.free[target] += 1 - float64(on.probe.runningIn(service.Service, region))/float64(slots)
		}
	}
}

// fillHeadroom takes the mean free slots of the tightest service and region.
func (r *loadReport) fillHeadroom(on *site) {
	r.Headroom = 1
	for target, sum := range r.free {
		drained := r.Scenario == string(scenarioDrain) && target.region == on.config.Shape.DrainedRegion
		if mean := sum / float64(max(1, r.samples)); !drained && mean < r.Headroom {
			r.Headroom = mean
			r.Tightest = string(target.service) + "/" + string(target.region)
		}
	}
}
