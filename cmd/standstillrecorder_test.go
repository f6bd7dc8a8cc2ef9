package cmd

import (
	"testing"
	"time"
)

// proofMinStandstill is the shortest standstill of the upstreams after which an entry may
// eject them: an abandoned request without a response for so long counts as a failure, see
// upstream.Limits.
const proofMinStandstill = 250 * time.Millisecond

// A standstillRecorder records for how long the test's process stood still.
type standstillRecorder struct {
	stopped chan struct{}
	longest chan time.Duration
}

// startStandstillRecorder starts a recorder, which stop ends.
func startStandstillRecorder(t *testing.T) *standstillRecorder {
	t.Helper()
	r := &standstillRecorder{stopped: make(chan struct{}), longest: make(chan time.Duration, 1)}
	go r.run(stallDetector{interval: 10 * time.Millisecond, minStall: proofMinStandstill})
	return r
}

func (r *standstillRecorder) run(detector stallDetector) {
	longest := time.Duration(0)
	for {
		longest = max(longest, detector.tick(time.Now()))
		select {
		case <-r.stopped:
			r.longest <- longest
			return
		case <-time.After(detector.interval):
		}
	}
}

// stop ends the recorder and returns the longest standstill of at least proofMinStandstill, 0
// if there was none.
func (r *standstillRecorder) stop() time.Duration {
	close(r.stopped)
	return <-r.longest
}
