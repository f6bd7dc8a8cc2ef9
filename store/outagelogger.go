package store

import (
	"sync"
	"time"
)

// health logs when the platform stops and starts to answer.
type outageLogger struct {
	mu        sync.Mutex
	downSince time.Time // zero while the platform answers
}

// note takes the outcome of a call.
func (h *outageLogger) record(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil && h.downSince.IsZero():
		h.downSince = now
		log.Warningf("%v", err)
	case err == nil && !h.downSince.IsZero():
		log.Infof("the platform answers again after %v", now.Sub(h.downSince).Round(time.Millisecond))
		h.downSince = time.Time{}
	}
}
