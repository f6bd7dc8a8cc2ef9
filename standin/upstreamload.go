package standin

import (
	"time"

	"savorystep"
)

// An UpstreamLoad is the content of an endpoint's load page.
type UpstreamLoad struct {
	Slots    savorystep.Slots `json:"slots"`
	Busy     savorystep.Slots `json:"busy"`
	Draining bool             `json:"draining"`
	Healthy  bool             `json:"healthy"`
}

// loadSampleInterval is the time between load samples, and so the resolution of a
// lagging load page.
const loadSampleInterval = 10 * time.Millisecond

// maxLoadSamples bounds the load history to 10 s.
const maxLoadSamples = 1000

// A loadHistory holds the latest load samples, the newest last.
type loadHistory struct {
	samples []UpstreamLoad
}

// add appends a sample. If the history is full, it drops the oldest one.
func (h *loadHistory) add(load UpstreamLoad) {
	if len(h.samples) == maxLoadSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:maxLoadSamples-1]
	}
	h.samples = append(h.samples, load)
}

// loadAt returns the sample from the time lag ago, or the oldest one if there is
// none that old. Without a lag or samples it returns the present load.
func (h *loadHistory) loadAt(lag time.Duration, present UpstreamLoad) UpstreamLoad {
	age := int(lag / loadSampleInterval)
	if age == 0 || len(h.samples) == 0 {
		return present
	}
	return h.samples[max(0, len(h.samples)-age)]
}
