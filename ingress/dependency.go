package ingress

import "time"

// A dependency logs when something that is depended on is lost and regained.
type dependency struct {
	name      string
	downSince time.Time
	// consecutiveFailures counts calls that failed in a row.
	consecutiveFailures int
}

// record takes the outcome of a call.
func (d *dependency) record(now time.Time, err error) {
	d.consecutiveFailures++
	if err == nil {
		d.consecutiveFailures = 0
	}
	switch {
	case err != nil && d.downSince.IsZero():
		d.downSince = now
		log.Warningf("%s lost: %v", d.name, err)
	case err == nil && !d.downSince.IsZero():
		log.Infof("%s regained after %v", d.name, now.Sub(d.downSince).Round(time.Millisecond))
		d.downSince = time.Time{}
	}
}

// backoff returns the time to wait before the next call after a failure.
func (d *dependency) backoff() time.Duration {
	pause := minBackoff
	for range d.consecutiveFailures - 1 {
		if pause = min(2*pause, maxBackoff); pause == maxBackoff {
			break
		}
	}
	return pause
}
