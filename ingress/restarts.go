package ingress

import (
	"time"

	"savorystep/endpoint"
)

// logRestarts logs the restarts of endpoints that a read of the endpoint list has told,
// with what this instance knew of them and sent to them before.
func logRestarts(restarts []endpoint.Restart) {
	for _, r := range restarts {
		known := "not known before"
		if r.SuspectedFor > 0 {
			known = "suspected for " + r.SuspectedFor.Round(time.Millisecond).String()
		}
		log.Infof("endpoint %s restarted at %d, before at %d, cold for %v, %s; lately sent %d requests as warm, %d as cold", r.Endpoint.ID, r.Endpoint.StartedAtMillis, r.PreviousStartedAtMillis, r.Endpoint.ColdRemaining, known, r.SentWarm, r.SentCold)
	}
}
