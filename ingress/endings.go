package ingress

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
)

// Endings shares which endpoints have ended without notice with the other instances, so
// that all of them count the endpoint as cold when it starts again, before the endpoint
// list says so.
type Endings struct {
	facts  savorystep.Facts
	router *Router
	// reports counts the reports of this instance.
	reports atomic.Uint64
}

// NewEndings returns endings that are exchanged with other instances through facts and
// apply to the endpoints of a router.
func NewEndings(facts savorystep.Facts, router *Router) *Endings {
	e := &Endings{facts: facts, router: router}
	facts.Subscribe(savorystep.FactEnded, e.applyFact)
	facts.Subscribe(savorystep.FactSilent, e.applyFact)
	return e
}

// record records that nothing listens at the address of an endpoint any more. It logs and
// publishes that if the other instances are to be told.
func (e *Endings) record(now time.Time, ended savorystep.Endpoint, evidence string) {
	var isDue bool
	e.router.WithTable(func(t *endpoint.Table) { isDue = t.RecordEnded(now, ended) })
	if !isDue {
		return
	}
	log.Infof("endpoint %s, started at %d, has ended: nothing listens at %s, %s", ended.ID, ended.StartedAtMillis, ended.Address, evidence)
	e.facts.Publish(savorystep.FactEnded, string(ended.ID), savorystep.EndedFact{StartedAtMillis: ended.StartedAtMillis, Number: e.reports.Add(1)})
}

// recordCold records that an endpoint stated in a health check that it stays cold for
// remaining. If that is longer than listed, its listed incarnation has ended.
func (e *Endings) recordCold(now time.Time, cold savorystep.Endpoint, remaining time.Duration) {
	var isDue bool
	e.router.WithTable(func(t *endpoint.Table) { isDue = t.RecordCold(now, cold, remaining) })
	if !isDue {
		return
	}
	log.Infof("endpoint %s, started at %d, has ended: it stays cold for %v according to a health check", cold.ID, cold.StartedAtMillis, remaining)
	e.facts.Publish(savorystep.FactEnded, string(cold.ID), savorystep.EndedFact{StartedAtMillis: cold.StartedAtMillis, Number: e.reports.Add(1)})
}

// recordSilent records that an endpoint was silent: it accepted no connection in time, or
// acknowledged nothing. It publishes that if the other instances are to be told.
func (e *Endings) recordSilent(now time.Time, silent savorystep.Endpoint) {
	var isDue bool
	e.router.WithTable(func(t *endpoint.Table) { isDue = t.RecordSilent(now, silent) })
	if !isDue {
		return
	}
	log.Infof("endpoint %s, started at %d, is silent at %s", silent.ID, silent.StartedAtMillis, silent.Address)
	e.facts.Publish(savorystep.FactSilent, string(silent.ID), savorystep.EndedFact{StartedAtMillis: silent.StartedAtMillis, Number: e.reports.Add(1)})
}

// recordRunning records that an endpoint answered on a connection that was opened at
// openedAt. It publishes that the endpoint runs on if it was silent since.
func (e *Endings) recordRunning(now time.Time, answered savorystep.Endpoint, openedAt time.Time) {
	var isDue bool
	e.router.WithTable(func(t *endpoint.Table) { isDue = t.RecordRunning(now, answered, openedAt) })
	if !isDue {
		return
	}
	log.Infof("endpoint %s, started at %d, was silent and runs on: it answered on a connection of %v ago", answered.ID, answered.StartedAtMillis, now.Sub(openedAt).Round(time.Millisecond))
	e.facts.Publish(savorystep.FactSilent, string(answered.ID), savorystep.EndedFact{StartedAtMillis: answered.StartedAtMillis, Number: e.reports.Add(1), IsRunning: true})
}

// applyFact applies what another instance found.
func (e *Endings) applyFact(fact savorystep.ReceivedFact) {
	var body savorystep.EndedFact
	if err := cbor.Unmarshal(fact.Body, &body); err != nil {
		log.Warningf("can't use fact about an ended or silent endpoint of instance %s with subject %s: %v", fact.Instance, fact.Subject, err)
		return
	}
	id := savorystep.EndpointID(fact.Subject)
	var isNew bool
	if body.IsRunning {
		e.router.WithTable(func(t *endpoint.Table) { t.ApplyRunning(fact.ReceivedAt, id, body.StartedAtMillis) })
		return
	}
	if fact.Kind == savorystep.FactSilent {
		e.router.WithTable(func(t *endpoint.Table) {
			isNew = t.ApplySilent(fact.ReceivedAt, fact.Instance, id, body.StartedAtMillis, fact.Age)
		})
		if isNew {
			log.Infof("endpoint %s, started at %d, may have ended: it is silent to several instances, the last one is %s", id, body.StartedAtMillis, fact.Instance)
		}
		return
	}
	e.router.WithTable(func(t *endpoint.Table) { isNew = t.ApplyEnded(fact.ReceivedAt, id, body.StartedAtMillis, fact.Age) })
	if isNew {
		log.Infof("endpoint %s, started at %d, has ended according to instance %s", id, body.StartedAtMillis, fact.Instance)
	}
}

// isSilent reports whether the error of an exchange shows that its endpoint accepted no
// connection in time or acknowledged nothing, and was not only slower than the request's
// deadline.
func isSilent(ctx context.Context, err error) bool {
	var exchangeErr *http1.ExchangeError
	if ctx.Err() != nil || !errors.As(err, &exchangeErr) {
		return false
	}
	return errors.Is(err, syscall.ETIMEDOUT) || exchangeErr.Stage == http1.StageDial && errors.Is(err, os.ErrDeadlineExceeded)
}
