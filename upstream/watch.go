package upstream

import (
	"context"
	"time"

	"savorystep"
)

// restate is the interval of repeating facts that expire at peers.
const drainRepublishInterval = time.Second

// restateCount is the interval of repeating counts in flight that do not
// change. With a tick it is shorter than the time for which a count holds in
// full.
const countRepublishInterval = 100 * time.Millisecond

// unusualFactor times the usual time of a request is the least silence that is
// suspicious on an endpoint: a log-normal time with sigma 0.5 exceeds 8 times
// its mean about once in 100,000 requests.
const silenceFactor = 8

// watch checks connections and queues and publishes facts until ctx is
// cancelled.
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

// unusedPages is how many times less often the page of an unused endpoint is
// read.
const unusedPageFactor = 10

// A chore is what a tick does after it released the locks.
type deferredAction func()

// tick makes one round over all groups.
func (p *Pool) tick(ctx context.Context) {
	now := p.clock.Now()
	hasPeers := p.hasPeers(now)
	suspect := false
	measured := p.countsValidAt(now)
	var chores []deferredAction
	for _, g := range p.allGroups() {
		g.mu.Lock()
		for _, e := range g.endpoints {
			e.updatePeersInFlight(now, p.limits.MaxCountAge)
			chores = p.checkConns(ctx, g, e, now, hasPeers, chores)
			chores = p.checkLoadPage(ctx, g, e, now, chores)
			chores = p.publishFacts(ctx, g, e, now, chores)
		}
		suspect = g.suspectsOwnNetwork(now, hasPeers) || suspect
		g.sampleRamp(now, measured)
		g.failStrandedWaiters(now)
		g.dispatch(now)
		g.mu.Unlock()
	}
	if p.suspect.Swap(suspect) != suspect {
		p.record(savorystep.Event{Kind: savorystep.EventSuspect, Text: suspectText(suspect)})
	}
	for _, c := range chores {
		c()
	}
}

func suspectText(suspect bool) string {
	if suspect {
		return "most endpoints of a region look dead from here only"
	}
	return "endpoints look alive again"
}

// refuseStranded ends the wait of all waiters when no endpoint is left. The
// caller holds mu.
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

// watchConnections ends attempts on silent connections, probes endpoints with
// suspicious ones and retires old connections. The caller holds the group's
// lock.
func (p *Pool) checkConns(ctx context.Context, g *group, e *endpoint, now time.Time, hasPeers bool, chores []deferredAction) []deferredAction {
	at := p.base.nanosAt(now)
	short := max(p.limits.OldConnProgressTimeout, silenceFactor*e.serviceTime)
	for a := range e.attempts {
		quiet := a.silentFor(at)
		if quiet < min(short, p.limits.ProgressTimeout) || a.connSilent.Load() {
			continue
		}
		old := a.conn.Load().openedAt < e.verifiedConnOpened && e.verifiedAt > a.roundTripAt.Load()
		switch {
		case old && quiet >= short, quiet >= p.limits.ProgressTimeout:
			chores = append(chores, p.endSilent(g, e, a, now, old, hasPeers)...)
		case a.connReused.Load() && !e.readingLoadPage:
			e.readingLoadPage = true
			l := e.conns
			chores = append(chores, p.backgroundAction(func() { p.readLoadPage(ctx, g, e, l, true) }))
		}
	}
	return chores
}

// endSilent ends an attempt on a silent connection. A request that may run at
// most once is not cancelled before its answer began; it only gives its slot
// back. The caller holds the group's lock.
func (p *Pool) endSilent(g *group, e *endpoint, a *attempt, now time.Time, old, hasPeers bool) []deferredAction {
	a.connSilent.Store(true)
	ejected := g.recordFailure(e, now, hasPeers)
	id := e.info.ID
	var chores []deferredAction
	if old && a.lease.conns == e.conns {
		retired := e.conns
		e.conns = newConnSet(p.base, &p.limits, e.info)
		chores = append(chores, func() {
			retired.retire()
			p.record(savorystep.Event{
				Kind: savorystep.EventFault, Service: g.service, Region: g.region,
				Text: "old connections to " + string(id) + " are silent and were retired",
			})
		})
	}
	return append(chores, func() {
		if ejected {
			p.recordEjection(g, id)
		}
		if a.atMostOnce && !a.headerReceived.Load() {
			a.lease.releaseSlot(0)
			return
		}
		a.cancel()
	})
}

// recordEject keeps the event of an ejection.
func (p *Pool) recordEjection(g *group, id savorystep.EndpointID) {
	log.Infof("endpoint %s is ejected", id)
	p.record(savorystep.Event{
		Kind: savorystep.EventEject, Service: g.service, Region: g.region,
		Text: "endpoint " + string(id) + " is ejected after consecutive failures",
	})
}

// task returns a chore that runs f in the background.
func (p *Pool) backgroundAction(f func()) deferredAction {
	return func() { p.background.Go(f) }
}

// watchPage reads the load page when it is due. The caller holds the group's
// lock.
func (p *Pool) checkLoadPage(ctx context.Context, g *group, e *endpoint, now time.Time, chores []deferredAction) []deferredAction {
	interval := p.limits.LoadPageInterval
	if now.Sub(e.lastUsed) > 10*time.Second {
		interval *= unusedPageFactor
	}
	// The interval is that of the present use: an endpoint that came into use
	// since the last read must not wait for the slow rate.
	if interval < 0 || e.readingLoadPage || now.Before(e.loadPageRequestedAt.Add(interval)) {
		return chores
	}
	e.loadPageRequestedAt = now
	e.readingLoadPage = true
	l := e.conns
	return append(chores, p.backgroundAction(func() { p.readLoadPage(ctx, g, e, l, false) }))
}

// stateFacts publishes what changed about an endpoint, and repeats what
// expires at peers. The caller holds the group's lock.
func (p *Pool) publishFacts(ctx context.Context, g *group, e *endpoint, now time.Time, chores []deferredAction) []deferredAction {
	facts := p.config.Facts
	if facts == nil {
		return chores
	}
	subject := string(e.info.ID)
	if e.ownInFlight != e.publishedInFlight || e.ownInFlight > 0 && now.Sub(e.publishedAt) >= countRepublishInterval {
		e.publishedInFlight, e.publishedAt = e.ownInFlight, now
		body := savorystep.InFlightFact{Count: e.ownInFlight}
		chores = append(chores, func() { facts.Publish(savorystep.FactInFlight, subject, body) })
	}
	// An endpoint that looks dead counts even while its ejection is withheld:
	// if only ejections were told, no instance would learn from its peers that
	// most endpoints of a region are dead.
	ejected := e.health.Ejected(now) || e.health.consecutiveFailures >= p.limits.Health.ConsecutiveFailures
	if ejected != e.publishedEjected {
		e.publishedEjected = ejected
		chores = append(chores, func() {
			facts.Publish(savorystep.FactHealth, subject, savorystep.HealthFact{Ejected: ejected})
		})
	}
	return p.publishDrain(ctx, g, e, now, chores)
}

// stateDrain pushes that an endpoint drains when this instance learns it from
// the list or the page, and repeats it while that lasts. What peers said is
// not repeated, so that a wrong statement ends. The caller holds the group's
// lock.
func (p *Pool) publishDrain(ctx context.Context, g *group, e *endpoint, now time.Time, chores []deferredAction) []deferredAction {
	believe := g.assess(now).TrustLoadPages
	drains := e.info.State != savorystep.StateLive || believe && e.health.pageFresh(now) && e.health.page.Draining
	if !drains {
		e.drainPublished = false
		return chores
	}
	if e.drainPublished && now.Sub(e.drainPublishedAt) < drainRepublishInterval {
		return chores
	}
	subject := string(e.info.ID)
	first := !e.drainPublished
	e.drainPublished, e.drainPublishedAt = true, now
	if !first {
		return append(chores, func() { p.config.Facts.Publish(savorystep.FactDraining, subject, struct{}{}) })
	}
	return append(chores, p.backgroundAction(func() {
		pushCtx, cancel := context.WithTimeout(ctx, p.limits.DrainPushTimeout)
		defer cancel()
		p.config.Facts.Broadcast(pushCtx, savorystep.FactDraining, subject, struct{}{})
		p.record(savorystep.Event{
			Kind: savorystep.EventDrain, Service: g.service, Region: g.region,
			Text: "endpoint " + subject + " drains",
		})
	}))
}
