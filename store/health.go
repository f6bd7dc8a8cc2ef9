package store

import (
	"sync"
	"time"
)

// health logs when the platform stops and starts to answer.
type health struct {
	mu    sync.Mutex
	since time.Time // zero while the platform answers
}

// note takes the outcome of a call.
func (h *health) note(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil && h.since.IsZero():
		h.since = now
		log.Warningf("%v", err)
	case err == nil && !h.since.IsZero():
		log.Infof("the platform answers again after %v", now.Sub(h.since).Round(time.Millisecond))
		h.since = time.Time{}
	}
}
