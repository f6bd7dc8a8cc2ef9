package ingress

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/endpoint"
)

// Leavings shares which endpoints have said that they leave with the other instances,
// so that an instance stops its requests to an endpoint before it is told itself.
type Leavings struct {
	facts  savorystep.Facts
	router *Router
}

// NewLeavings returns leavings that are exchanged with other instances through facts
// and apply to the endpoints of a router.
func NewLeavings(facts savorystep.Facts, router *Router) *Leavings {
	l := &Leavings{facts: facts, router: router}
	facts.Subscribe(savorystep.FactLeaving, l.applyFact)
	return l
}

// record records that the response to an attempt said that its endpoint leaves. If
// that is new, it logs and publishes it.
func (l *Leavings) record(now time.Time, choice endpoint.Choice) {
	var isNew bool
	l.router.WithTable(func(t *endpoint.Table) { isNew = t.RecordLeaving(now, choice) })
	if !isNew {
		return
	}
	log.Infof("endpoint %s, started at %d, leaves according to its response", choice.Endpoint.ID, choice.Endpoint.StartedAtMillis)
	l.facts.Publish(savorystep.FactLeaving, string(choice.Endpoint.ID), savorystep.LeavingFact{StartedAtMillis: choice.Endpoint.StartedAtMillis})
}

// applyFact applies what an endpoint said to another instance.
func (l *Leavings) applyFact(fact savorystep.ReceivedFact) {
	var body savorystep.LeavingFact
	if err := cbor.Unmarshal(fact.Body, &body); err != nil {
		log.Warningf("can't use leaving fact of instance %s about endpoint %s: %v", fact.Instance, fact.Subject, err)
		return
	}
	id := savorystep.EndpointID(fact.Subject)
	var isNew bool
	l.router.WithTable(func(t *endpoint.Table) { isNew = t.ApplyLeaving(fact.ReceivedAt, id, body.StartedAtMillis) })
	if isNew {
		log.Infof("endpoint %s, started at %d, leaves according to instance %s", id, body.StartedAtMillis, fact.Instance)
	}
}
