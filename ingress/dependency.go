package ingress

import "time"

// A dependency tracks the calls to something that this instance depends on. It
// logs when the dependency fails and recovers, and computes the backoff.
type dependency struct {
	name string
	// downSince is when the first of the failed calls in a row ended, zero while
	// calls succeed.
	downSince           time.Time
	consecutiveFailures int
}

// record records the result of a call that ended at now.
func (d *dependency) record(now time.Time, err error) {
	d.consecutiveFailures++
	if err == nil {
		d.consecutiveFailures = 0
	}
	switch {
	case err != nil && d.downSince.IsZero():
		d.downSince = now
		log.Warningf("%s unavailable: %v", d.name, err)
	case err == nil && !d.downSince.IsZero():
		log.Infof("%s available again after %v", d.name, now.Sub(d.downSince).Round(time.Millisecond))
		d.downSince = time.Time{}
	}
}

// backoff returns the delay before the next call after a failure. It doubles with
// each consecutive failure, from minBackoff up to maxBackoff.
func (d *dependency) backoff() time.Duration {
	delay := minBackoff
	for range d.consecutiveFailures - 1 {
		if delay = min(2*delay, maxBackoff); delay == maxBackoff {
			break
		}
	}
	return delay
}
