package store

import (
	"sync"
	"time"
)

// An outageLogger logs when the platform becomes unavailable and available
// again.
type outageLogger struct {
	mu        sync.Mutex
	downSince time.Time // zero while the platform is available
}

// record records the outcome of a call.
func (l *outageLogger) record(now time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && l.downSince.IsZero():
		l.downSince = now
		log.Warningf("platform unavailable: %v", err)
	case err == nil && !l.downSince.IsZero():
		log.Infof("platform available again after %v", now.Sub(l.downSince).Round(time.Millisecond))
		l.downSince = time.Time{}
	}
}
