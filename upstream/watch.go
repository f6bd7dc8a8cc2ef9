package upstream

import (
	"context"
	"time"

	"savorystep"
)

// restate is the interval of repeating facts that expire at peers.
const restate = time.Second

// restateCount is the interval of repeating counts in flight that do not
// change. With a tick it is shorter than the time for which a count holds in
// full.
const restateCount = 100 * time.Millisecond

// unusualFactor times the usual time of a request is the least silence that is
// suspicious on an endpoint: a log-normal time with sigma 0.5 exceeds 8 times
// its mean about once in 100,000 requests.
const unusualFactor = 8

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
const unusedPages = 10

// A chore is what a tick does after it released the locks.
type chore func()

// tick makes one round over all groups.
func (p *Pool) tick(ctx context.Context) {
	now := p.clock.Now()
	hasPeers := p.hasPeers(now)
	suspect := false
	measured := p.measuredAt(now)
	var chores []chore
	for _, g := range p.allGroups() {
		g.mu.Lock()
		for _, e := range g.endpoints {
			e.expectPeers(now, p.limits.MaxCountAge)
			chores = p.watchConnections(ctx, g, e, now, hasPeers, chores)
			chores = p.watchPage(ctx, g, e, now, chores)
			chores = p.stateFacts(ctx, g, e, now, chores)
		}
		suspect = g.suspects(now, hasPeers) || suspect
		g.measureGrowth(now, measured)
		g.refuseStranded(now)
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
func (g *group) refuseStranded(now time.Time) {
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
func (p *Pool) watchConnections(ctx context.Context, g *group, e *endpoint, now time.Time, hasPeers bool, chores []chore) []chore {
	at := p.base.at(now)
	short := max(p.limits.OldConnProgressTimeout, unusualFactor*e.usual)
	for a := range e.attempts {
		quiet := a.silence(at)
		if quiet < min(short, p.limits.ProgressTimeout) || a.silent.Load() {
			continue
		}
		old := a.conn.Load().born < e.proven && e.provenAt > a.sentAt.Load()
		switch {
		case old && quiet >= short, quiet >= p.limits.ProgressTimeout:
			chores = append(chores, p.endSilent(g, e, a, now, old, hasPeers)...)
		case a.reused.Load() && !e.reading:
			e.reading = true
			l := e.link
			chores = append(chores, p.task(func() { p.readPage(ctx, g, e, l, true) }))
		}
	}
	return chores
}

// endSilent ends an attempt on a silent connection. A request that may run at
// most once is not cancelled before its answer began; it only gives its slot
// back. The caller holds the group's lock.
func (p *Pool) endSilent(g *group, e *endpoint, a *attempt, now time.Time, old, hasPeers bool) []chore {
	a.silent.Store(true)
	ejected := g.fail(e, now, hasPeers)
	id := e.info.ID
	var chores []chore
	if old && a.lease.link == e.link {
		retired := e.link
		e.link = newLink(p.base, &p.limits, e.info)
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
			p.recordEject(g, id)
		}
		if a.once && !a.answered.Load() {
			a.lease.freeSlot(0)
			return
		}
		a.cancel()
	})
}

// recordEject keeps the event of an ejection.
func (p *Pool) recordEject(g *group, id savorystep.EndpointID) {
	log.Infof("endpoint %s is ejected", id)
	p.record(savorystep.Event{
		Kind: savorystep.EventEject, Service: g.service, Region: g.region,
		Text: "endpoint " + string(id) + " is ejected after consecutive failures",
	})
}

// task returns a chore that runs f in the background.
func (p *Pool) task(f func()) chore {
	return func() { p.background.Go(f) }
}

// watchPage reads the load page when it is due. The caller holds the group's
// lock.
func (p *Pool) watchPage(ctx context.Context, g *group, e *endpoint, now time.Time, chores []chore) []chore {
	interval := p.limits.LoadPageInterval
	if now.Sub(e.used) > 10*time.Second {
		interval *= unusedPages
	}
	// The interval is that of the present use: an endpoint that came into use
	// since the last read must not wait for the slow rate.
	if interval < 0 || e.reading || now.Before(e.pageAsked.Add(interval)) {
		return chores
	}
	e.pageAsked = now
	e.reading = true
	l := e.link
	return append(chores, p.task(func() { p.readPage(ctx, g, e, l, false) }))
}

// stateFacts publishes what changed about an endpoint, and repeats what
// expires at peers. The caller holds the group's lock.
func (p *Pool) stateFacts(ctx context.Context, g *group, e *endpoint, now time.Time, chores []chore) []chore {
	facts := p.config.Facts
	if facts == nil {
		return chores
	}
	subject := string(e.info.ID)
	if e.own != e.published || e.own > 0 && now.Sub(e.publishedAt) >= restateCount {
		e.published, e.publishedAt = e.own, now
		body := savorystep.InFlightFact{Count: e.own}
		chores = append(chores, func() { facts.Publish(savorystep.FactInFlight, subject, body) })
	}
	// An endpoint that looks dead counts even while its ejection is withheld:
	// if only ejections were told, no instance would learn from its peers that
	// most endpoints of a region are dead.
	ejected := e.health.Ejected(now) || e.health.failures >= p.limits.Health.ConsecutiveFailures
	if ejected != e.told {
		e.told = ejected
		chores = append(chores, func() {
			facts.Publish(savorystep.FactHealth, subject, savorystep.HealthFact{Ejected: ejected})
		})
	}
	return p.stateDrain(ctx, g, e, now, chores)
}

// stateDrain pushes that an endpoint drains when this instance learns it from
// the list or the page, and repeats it while that lasts. What peers said is
// not repeated, so that a wrong statement ends. The caller holds the group's
// lock.
func (p *Pool) stateDrain(ctx context.Context, g *group, e *endpoint, now time.Time, chores []chore) []chore {
	believe := g.assess(now).TrustLoadPages
	drains := e.info.State != savorystep.StateLive || believe && e.health.pageFresh(now) && e.health.page.Draining
	if !drains {
		e.claimed = false
		return chores
	}
	if e.claimed && now.Sub(e.claimedAt) < restate {
		return chores
	}
	subject := string(e.info.ID)
	first := !e.claimed
	e.claimed, e.claimedAt = true, now
	if !first {
		return append(chores, func() { p.config.Facts.Publish(savorystep.FactDraining, subject, struct{}{}) })
	}
	return append(chores, p.task(func() {
		pushCtx, cancel := context.WithTimeout(ctx, p.limits.DrainPushTimeout)
		defer cancel()
		p.config.Facts.Broadcast(pushCtx, savorystep.FactDraining, subject, struct{}{})
		p.record(savorystep.Event{
			Kind: savorystep.EventDrain, Service: g.service, Region: g.region,
			Text: "endpoint " + subject + " drains",
		})
	}))
}
