package standin

import (
	"time"

	"savorystep"
)

// An UpstreamLoad is what the load page of an endpoint tells.
type UpstreamLoad struct {
	Slots    savorystep.Slots `json:"slots"`
	Busy     savorystep.Slots `json:"busy"`
	Draining bool             `json:"draining"`
	Healthy  bool             `json:"healthy"`
}

// sampleInterval is the resolution of a lagging load page.
const sampleInterval = 10 * time.Millisecond

// loadSamples bounds the history to 10 s.
const loadSamples = 1000

// A loadHistory keeps the load of the last seconds, newest last.
type loadHistory struct {
	samples []UpstreamLoad
}

// add appends a sample and drops the oldest one when full.
func (h *loadHistory) add(load UpstreamLoad) {
	if len(h.samples) == loadSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:loadSamples-1]
	}
	h.samples = append(h.samples, load)
}

// at returns the sample that is lag old, or the oldest one.
func (h *loadHistory) at(lag time.Duration, present UpstreamLoad) UpstreamLoad {
	back := int(lag / sampleInterval)
	if back == 0 || len(h.samples) == 0 {
		return present
	}
	return h.samples[max(0, len(h.samples)-back)]
}
