package ingress

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/endpoint"
)

// RateLimits shares the rate limits that endpoints state with the other instances,
// so that an instance heeds a limit before its own requests meet it, and learns of
// its end although its share of the limit is zero.
type RateLimits struct {
	facts  savorystep.Facts
	router *Router
}

// NewRateLimits returns rate limits that are exchanged with other instances through
// facts and apply to the endpoints of a router.
func NewRateLimits(facts savorystep.Facts, router *Router) *RateLimits {
	l := &RateLimits{facts: facts, router: router}
	facts.Subscribe(savorystep.FactRateLimit, l.applyFact)
	return l
}

// record records what the response to an attempt says about the rate limit of its
// endpoint. It logs when the limit begins, changes or ends, and publishes it to the
// other instances.
func (l *RateLimits) record(now time.Time, choice endpoint.Choice, statement endpoint.RateLimitStatement) {
	var report endpoint.RateLimitReport
	var recent int
	l.router.WithTable(func(t *endpoint.Table) {
		if report = t.RecordRateLimit(now, choice, statement); report.IsChanged {
			recent = t.RecentRequests(now, choice.Endpoint.ID)
		}
	})
	logRateLimit(choice.Endpoint.ID, report, recent, "its response")
	if report.IsDue {
		l.facts.Publish(savorystep.FactRateLimit, string(choice.Endpoint.ID), savorystep.RateLimitFact{
			StartedAtMillis: choice.Endpoint.StartedAtMillis, IsLimited: report.Statement.IsLimited, Rate: report.Statement.Rate,
		})
	}
}

// applyFact applies what an endpoint stated to another instance.
func (l *RateLimits) applyFact(fact savorystep.ReceivedFact) {
	var body savorystep.RateLimitFact
	if err := cbor.Unmarshal(fact.Body, &body); err != nil || !(body.Rate >= 0) {
		log.Warningf("can't use rate limit fact of instance %s about endpoint %s with rate %v: %v", fact.Instance, fact.Subject, body.Rate, err)
		return
	}
	id := savorystep.EndpointID(fact.Subject)
	var report endpoint.RateLimitReport
	var recent int
	l.router.WithTable(func(t *endpoint.Table) {
		report = t.ApplyRateLimit(fact.ReceivedAt, id, body.StartedAtMillis, endpoint.RateLimitStatement{IsLimited: body.IsLimited, Rate: body.Rate})
		if report.IsChanged {
			recent = t.RecentRequests(fact.ReceivedAt, id)
		}
	})
	logRateLimit(id, report, recent, "instance "+string(fact.Instance))
}

// logRateLimit logs a rate limit that has begun, changed or ended, with the number of
// requests that this instance sent to the endpoint in the last 4 s.
func logRateLimit(id savorystep.EndpointID, report endpoint.RateLimitReport, recent int, source string) {
	switch {
	case !report.IsChanged:
	case report.Statement.IsLimited:
		log.Infof("endpoint %s has a rate limit of %.1f requests/s for all instances together according to %s, %d were sent from here in the last 4s", id, report.Statement.Rate, source, recent)
	default:
		log.Infof("endpoint %s has no rate limit any more according to %s", id, source)
	}
}
