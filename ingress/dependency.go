package ingress

import "time"

// A dependency logs when something that is depended on is lost and regained.
type dependency struct {
	name  string
	since time.Time
}

// note takes the outcome of a call.
func (d *dependency) note(now time.Time, err error) {
	switch {
	case err != nil && d.since.IsZero():
		d.since = now
		log.Warningf("%s lost: %v", d.name, err)
	case err == nil && !d.since.IsZero():
		log.Infof("%s regained after %v", d.name, now.Sub(d.since).Round(time.Millisecond))
		d.since = time.Time{}
	}
}
