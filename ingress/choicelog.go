package ingress

import (
	"fmt"
	"strings"
	"time"

	"savorystep/endpoint"
)

// describeNoEndpoint returns the step of the log that explains why no endpoint was
// selected: how many endpoints are excluded for which reason and, where it is known, for
// how long at least. soonest has an expected time if endpoints have room but would all
// respond after the deadline.
func (f *Forwarder) describeNoEndpoint(now time.Time, query endpoint.Query, soonest endpoint.Choice) string {
	var total, usable int
	var exclusions []endpoint.ExclusionCount
	f.config.Router.WithTable(func(t *endpoint.Table) {
		total, usable = t.CountEndpoints(now, query.Service)
		exclusions = t.Explain(now, query, soonest)
	})
	text := fmt.Sprintf("no endpoint has room, %d of %d can get requests", usable, total)
	if soonest.ExpectedLatency > 0 {
		text = fmt.Sprintf("no endpoint answers in time, the soonest in %v", soonest.ExpectedLatency.Round(time.Millisecond))
	}
	if len(exclusions) == 0 {
		return text
	}
	parts := make([]string, len(exclusions))
	for i, e := range exclusions {
		parts[i] = fmt.Sprintf("%v %d", e.Exclusion, e.Count)
		if !e.Until.IsZero() {
			parts[i] += fmt.Sprintf(" for %v", e.Until.Sub(now).Round(time.Millisecond))
		}
	}
	return text + ", excluded: " + strings.Join(parts, ", ")
}

// describeChoice returns the endpoint of an attempt and why it was chosen, for the
// log.
func describeChoice(choice endpoint.Choice) string {
	text := fmt.Sprintf("%s %s load %.1f expected %v", choice.Endpoint.ID, choice.Reason, choice.Load, choice.ExpectedLatency.Round(time.Millisecond))
	if choice.IsRateLimited {
		text += fmt.Sprintf(" limit %.1f/s recent %d", choice.RateLimit, choice.RecentRequests)
	}
	return text
}
