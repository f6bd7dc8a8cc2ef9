package upstream

import (
	"context"
	"time"

	"savorystep"
)

// drainRepublishInterval is the interval at which the fact that an endpoint is
// draining is published again, because it expires at the peers.
const drainRepublishInterval = time.Second

// countRepublishInterval is the interval at which an unchanged number of
// requests in flight is published again. Together with TickInterval it is
// shorter than the time for which peers use a count in full.
const countRepublishInterval = 100 * time.Millisecond

// silenceFactor times the average service time is the shortest silence of a
// connection that is suspicious. A log-normal service time with sigma 0.5
// exceeds 8 times its mean about once in 100,000 requests.
const silenceFactor = 8

// watch calls tick at every TickInterval until ctx is cancelled.
func (p *Pool) watch(ctx context.Context) {
	ticker := time.NewTicker(p.limits.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick(ctx)
		}
	}
}

// unusedLoadPageFactor is the factor by which the load page of an unused
// endpoint is read less often.
const unusedLoadPageFactor = 10

// A deferredAction is work that tick does after releasing the locks.
type deferredAction func()

// tick checks the connections and queues of all groups and publishes facts.
func (p *Pool) tick(ctx context.Context) {
	now := p.clock.Now()
	p.detectStandstill(now)
	hasPeers := p.hasPeers(now)
	suspected := false
	validAt := p.countsValidAt(now)
	var actions []deferredAction
	for _, g := range p.allGroups() {
		g.mu.Lock()
		for _, e := range g.endpoints {
			e.updatePeersInFlight(now, p.limits.MaxCountAge)
			actions = p.checkConns(ctx, g, e, now, hasPeers, actions)
			actions = p.checkLoadPage(ctx, g, e, now, actions)
			actions = p.publishFacts(ctx, g, e, now, actions)
		}
		suspected = g.suspectsOwnNetwork(now, hasPeers) || suspected
		g.sampleRamp(now, validAt)
		g.failStrandedWaiters(now)
		g.dispatch(now)
		g.mu.Unlock()
	}
	if p.networkSuspect.Swap(suspected) != suspected {
		p.record(savorystep.Event{Kind: savorystep.EventSuspect, Text: suspectText(suspected)})
	}
	for _, action := range actions {
		action()
	}
}

func suspectText(suspect bool) string {
	if suspect {
		return "most endpoints of a region look dead from here only"
	}
	return "endpoints look alive again"
}

// detectStandstill detects from a late tick that the process stood still. What
// arrived meanwhile may not have been read before the tick, so silence counts
// from then on.
func (p *Pool) detectStandstill(now time.Time) {
	maxInterval := p.limits.TickInterval + min(p.limits.OldConnProgressTimeout, p.limits.ProgressTimeout)/2
	if now.Sub(p.lastTickAt) > maxInterval {
		p.resumedAt = p.base.nanosAt(now)
	}
	p.lastTickAt = now
}

// failStrandedWaiters ends the wait of all waiters if no endpoint is usable.
// The caller holds mu.
func (g *group) failStrandedWaiters(now time.Time) {
	if len(g.waiters) == 0 || g.load(now).UsableEndpoints > 0 {
		return
	}
	for _, w := range g.waiters {
		w.granted <- nil
	}
	clear(g.waiters)
	g.waiters = g.waiters[:0]
}

// checkConns ends attempts on silent connections and reads the load page of
// endpoints with suspicious connections over a new connection. The endpoint may have
// stood still as a whole until it answers that, so its connections then get
// lateResponse, or a whole timeout if the answer was late. The caller holds the group's
// lock.
func (p *Pool) checkConns(ctx context.Context, g *group, e *endpoint, now time.Time, hasPeers bool, actions []deferredAction) []deferredAction {
	nowNanos := p.base.nanosAt(now)
	oldConnTimeout := max(p.limits.OldConnProgressTimeout, silenceFactor*e.serviceTime)
	graceAfterResumption := p.limits.lateResponse()
	if e.resumedLate {
		graceAfterResumption = oldConnTimeout
	}
	for a := range e.attempts {
		silence := a.silentFor(nowNanos, p.resumedAt)
		if silence < min(oldConnTimeout, p.limits.ProgressTimeout) || a.connSilent.Load() {
			continue
		}
		superseded := a.conn.Load().openedAt < e.verifiedConnOpened && e.verifiedAt > nowNanos-int64(silence)
		mayFollow := a.silentFor(nowNanos, max(p.resumedAt, e.resumedAt)) < graceAfterResumption
		switch {
		case superseded && silence >= oldConnTimeout && !mayFollow, silence >= p.limits.ProgressTimeout:
			actions = append(actions, p.endSilent(g, e, a, now, superseded, hasPeers)...)
		case a.connReused.Load() && !superseded && !e.readingLoadPage:
			e.readingLoadPage = true
			if e.probedSince == 0 {
				e.probedSince = nowNanos
			}
			conns := e.conns
			actions = append(actions, p.backgroundAction(func() { p.readLoadPage(ctx, g, e, conns, true) }))
		}
	}
	return actions
}

// endSilent ends an attempt on a silent connection. If a newer connection has
// been verified, all older ones are retired. An at-most-once request whose
// response has not begun is not cancelled; only its slot is released. The
// caller holds the group's lock.
func (p *Pool) endSilent(g *group, e *endpoint, a *attempt, now time.Time, superseded, hasPeers bool) []deferredAction {
	a.connSilent.Store(true)
	ejected := g.recordFailure(e, now, hasPeers)
	id, hadResponse := e.info.ID, a.hasResponse
	var actions []deferredAction
	if superseded && a.lease.conns == e.conns {
		retired := e.conns
		e.conns = newConnSet(p.base, &p.limits, e.info)
		actions = append(actions, func() {
			retired.retire()
			p.record(savorystep.Event{
				Kind: savorystep.EventFault, Service: g.service, Region: g.region,
				Text: "old connections to " + string(id) + " are silent and were retired",
			})
		})
	}
	return append(actions, func() {
		if ejected {
			p.recordEjection(g, id)
		}
		a.cancelSilent(hadResponse)
	})
}

// cancelSilent cancels an attempt whose connection was found silent, at a time when
// its response had begun or not. A response that has begun since then is kept.
func (a *attempt) cancelSilent(hadResponse bool) {
	g := a.lease.group
	g.mu.Lock()
	hasBegun := a.hasResponse && !hadResponse
	mustContinue := a.atMostOnce && !a.hasResponse
	a.isCancelledSilent = !hasBegun && !mustContinue
	g.mu.Unlock()
	switch {
	case hasBegun:
	case mustContinue:
		a.lease.releaseSlot(0)
	default:
		a.cancel()
	}
}

// recordEjection logs an ejection and records its event.
func (p *Pool) recordEjection(g *group, id savorystep.EndpointID) {
	log.Infof("endpoint %s ejected after consecutive failures", id)
	p.record(savorystep.Event{
		Kind: savorystep.EventEject, Service: g.service, Region: g.region,
		Text: "endpoint " + string(id) + " is ejected after consecutive failures",
	})
}

// backgroundAction returns an action that runs f in the background.
func (p *Pool) backgroundAction(f func()) deferredAction {
	return func() { p.background.Go(f) }
}

// checkLoadPage starts a read of the load page if it is due. The caller holds
// the group's lock.
func (p *Pool) checkLoadPage(ctx context.Context, g *group, e *endpoint, now time.Time, actions []deferredAction) []deferredAction {
	interval := p.limits.LoadPageInterval
	if now.Sub(e.lastUsed) > 10*time.Second {
		interval *= unusedLoadPageFactor
	}
	// The interval is recomputed at every tick, so that an endpoint that has
	// come into use is read at the fast rate at once.
	if interval < 0 || e.readingLoadPage || now.Before(e.loadPageRequestedAt.Add(interval)) {
		return actions
	}
	e.loadPageRequestedAt = now
	e.readingLoadPage = true
	conns := e.conns
	return append(actions, p.backgroundAction(func() { p.readLoadPage(ctx, g, e, conns, false) }))
}

// publishFacts publishes changes of an endpoint's state and republishes facts
// that expire at the peers. The caller holds the group's lock.
func (p *Pool) publishFacts(ctx context.Context, g *group, e *endpoint, now time.Time, actions []deferredAction) []deferredAction {
	facts := p.config.Facts
	if facts == nil {
		return actions
	}
	subject := string(e.info.ID)
	if e.ownInFlight != e.publishedInFlight || e.ownInFlight > 0 && now.Sub(e.publishedAt) >= countRepublishInterval {
		e.publishedInFlight, e.publishedAt = e.ownInFlight, now
		body := savorystep.InFlightFact{Count: e.ownInFlight}
		actions = append(actions, func() { facts.Publish(savorystep.FactInFlight, subject, body) })
	}
	// An endpoint over the failure threshold is reported even while its
	// ejection is withheld. If only ejections were published, no instance would
	// learn from its peers that most endpoints of a region are dead.
	looksDead := e.health.Ejected(now) || e.health.consecutiveFailures >= p.limits.Health.ConsecutiveFailures
	if looksDead != e.publishedEjected {
		e.publishedEjected = looksDead
		actions = append(actions, func() {
			facts.Publish(savorystep.FactHealth, subject, savorystep.HealthFact{Ejected: looksDead})
		})
	}
	return p.publishDrain(ctx, g, e, now, actions)
}

// publishDrain broadcasts that an endpoint is draining when this instance
// learns so from the platform's list or the load page, and republishes it while
// that lasts. Reports of peers are not passed on, so that a wrong report
// expires. The caller holds the group's lock.
func (p *Pool) publishDrain(ctx context.Context, g *group, e *endpoint, now time.Time, actions []deferredAction) []deferredAction {
	trustLoadPages := g.assess(now).TrustLoadPages
	draining := e.info.State != savorystep.StateLive || trustLoadPages && e.health.loadPageFresh(now) && e.health.loadPage.Draining
	if !draining {
		e.drainPublished = false
		return actions
	}
	if e.drainPublished && now.Sub(e.drainPublishedAt) < drainRepublishInterval {
		return actions
	}
	subject, body := string(e.info.ID), savorystep.DrainingFact{StartedAtMillis: e.info.StartedAtMillis}
	firstReport := !e.drainPublished
	e.drainPublished, e.drainPublishedAt = true, now
	if !firstReport {
		return append(actions, func() { p.config.Facts.Publish(savorystep.FactDraining, subject, body) })
	}
	return append(actions, p.backgroundAction(func() {
		broadcastCtx, cancel := context.WithTimeout(ctx, p.limits.DrainBroadcastTimeout)
		defer cancel()
		p.config.Facts.Broadcast(broadcastCtx, savorystep.FactDraining, subject, body)
		p.record(savorystep.Event{
			Kind: savorystep.EventDrain, Service: g.service, Region: g.region,
			Text: "endpoint " + subject + " drains",
		})
	}))
}
