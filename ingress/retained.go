package ingress

import (
	"context"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

var _ savorystep.RetainedSource = &Watcher{}

// RetainedState returns what this instance keeps in force of an era before that of the
// query.
func (w *Watcher) RetainedState(now time.Time, query savorystep.RetainedQuery) savorystep.RetainedState {
	w.operatorMu.Lock()
	defer w.operatorMu.Unlock()
	return w.operatorState.retained(now, w.config.Router, query)
}

// learnRetained asks other instances what they retain, once for each query, and applies
// it.
func (w *Watcher) learnRetained(ctx context.Context) {
	for {
		select {
		case query := <-w.retainedQueries:
			w.config.Retained.RetainedStates(ctx, query, func(state savorystep.RetainedState) {
				w.operatorMu.Lock()
				defer w.operatorMu.Unlock()
				w.operatorState.applyRetained(w.config.Clock.Now(), w.config.Router, query.Era, state)
			})
		case <-ctx.Done():
			return
		}
	}
}

// requestRetained lets learnRetained ask others, unless the store has never come back
// from a copy or a request is pending.
func (w *Watcher) requestRetained(version savorystep.CatalogVersion) {
	if w.config.Retained == nil || version.Era() <= 1 {
		return
	}
	query := savorystep.RetainedQuery{Era: version.Era()}
	if routing := w.config.Router.Routing(); routing != nil {
		query.Revision = routing.Revision
	}
	select {
	case w.retainedQueries <- query:
	default:
	}
}

// retained returns what is in force of an era before that of a query.
func (s *operatorState) retained(now time.Time, router *Router, query savorystep.RetainedQuery) savorystep.RetainedState {
	var state savorystep.RetainedState
	routing, era := router.Routing(), s.version.Era()
	goneBefore := s.eraReadAt
	switch {
	case s.version == 0 || era > query.Era:
		return state
	case era < query.Era:
		// This instance has not read the restored store yet.
		state.Remaining, goneBefore = restoredHold, now
		router.WithTable(func(t *endpoint.Table) { state.EvacuatedZones = t.EvacuatedZones() })
	case !now.Before(s.holdUntil):
		state.IsSettled = now.Sub(s.eraReadAt) >= restoredHold
		return state
	default:
		state.Remaining = s.holdUntil.Sub(now)
		for zone := range s.heldZones {
			state.EvacuatedZones = append(state.EvacuatedZones, zone)
		}
	}
	if routing != nil && s.routingEra < query.Era && routing.Revision > query.Revision {
		state.Routing = routing
	}
	router.WithTable(func(t *endpoint.Table) { state.Gone = t.Gone(goneBefore, query.Era) })
	return state
}

// applyRetained puts in force what another instance retains for an era, for as long as
// that does at most. What this instance retains ends if the other one says that the
// store's state counts. It does nothing if the store is in another era.
func (s *operatorState) applyRetained(now time.Time, router *Router, era savorystep.StoreEra, state savorystep.RetainedState) {
	if s.version.Era() != era {
		return
	}
	if state.IsSettled && !s.holdUntil.IsZero() {
		s.endHold(now, router)
	}
	if state.Remaining <= 0 {
		return
	}
	if until := now.Add(min(state.Remaining, restoredHold)); until.After(s.holdUntil) {
		s.holdUntil = until
	}
	if current := router.Routing(); state.Routing != nil && router.SetRouting(state.Routing) {
		if s.restoredRouting == nil {
			s.restoredRouting = current
		}
		s.routingEra = era - 1
		log.Warningf("routing revision %d is in force as another instance retains it, the restored store lacks it", state.Routing.Revision)
	}
	router.WithTable(func(t *endpoint.Table) {
		for _, zone := range difference(state.EvacuatedZones, t.EvacuatedZones()) {
			s.holdZone(zone)
			t.Evacuate(zone)
		}
		for _, gone := range state.Gone {
			t.ApplyGone(now, gone)
		}
	})
}
