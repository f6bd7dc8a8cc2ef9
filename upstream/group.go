package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"savorystep"
)

// firstUsual is the assumed time of a request before any was measured.
const initialServiceTime = 20 * time.Millisecond

// usualGain is the weight of one request in the moving average of the time
// that requests hold a slot.
const serviceTimeDivisor = 8

// A group is the endpoints of a service in a region with their queue.
type group struct {
	service savorystep.Service
	region  savorystep.Region
	ownZone savorystep.Zone
	limits  *Limits
	clock   savorystep.Clock

	mu          sync.Mutex
	endpoints   []*endpoint
	healths     []*Health
	waiters     []*waiter
	serviceTime time.Duration
	// ramp limits how fast failover may fill the region.
	ramp *Ramp
	// candidates is scratch space of pick.
	candidateBuffer []Candidate
	// suspectSince is when more than half of the endpoints began to look dead
	// to this instance only.
	suspectSince time.Time
}

// assess compares the endpoints. The caller holds mu.
func (g *group) assess(now time.Time) Assessment {
	return Assess(g.healths, now)
}

// pick chooses an endpoint with a free slot and counts a request on it. It
// returns nil if there is none. The caller holds mu.
func (g *group) pick(now time.Time, r *forwardOptions) *endpoint {
	assessment := g.assess(now)
	g.candidateBuffer = g.candidateBuffer[:0]
	for _, e := range g.endpoints {
		var c Candidate
		if e.health.Usable(now, assessment.TrustLoadPages) && !e.health.Paused(now) && !r.avoids(e.info.ID) {
			c = e.candidate(now, e.info.Place.Zone == g.ownZone)
		}
		g.candidateBuffer = append(g.candidateBuffer, c)
	}
	index := Choose(g.candidateBuffer, rand.Uint64())
	if index < 0 {
		return nil
	}
	e := g.endpoints[index]
	e.ownInFlight++
	e.lastUsed = now
	return e
}

// load returns the load of the region. The caller holds mu.
func (g *group) load(now time.Time) savorystep.RegionLoad {
	assessment := g.assess(now)
	load := savorystep.RegionLoad{Region: g.region, Queued: len(g.waiters), Endpoints: len(g.endpoints)}
	for _, e := range g.endpoints {
		if !e.health.Usable(now, assessment.TrustLoadPages) {
			continue
		}
		load.UsableEndpoints++
		load.Slots += e.info.Slots
		load.UsedSlots += e.usedSlots(now)
	}
	return load
}

// take returns an endpoint with a slot. With wait set it queues while there is
// room in the queue and the estimated wait is within the deadline.
func (g *group) acquire(ctx context.Context, r *forwardOptions, deadline time.Time, wait bool) (*endpoint, error) {
	now := g.clock.Now()
	g.mu.Lock()
	if len(g.waiters) == 0 || !wait {
		if e := g.pick(now, r); e != nil {
			g.mu.Unlock()
			return e, nil
		}
	}
	latest := g.latestStart(deadline)
	if err := g.admitToQueue(now, r, latest, wait); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	w := &waiter{options: *r, granted: make(chan *endpoint, 1)}
	g.waiters = append(g.waiters, w)
	g.mu.Unlock()
	return g.awaitSlot(ctx, w, latest)
}

// latestStart returns until when a request may wait for a slot: after that, twice
// the usual time of a request no longer fits before the deadline. The caller
// holds mu.
func (g *group) latestStart(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-2 * g.serviceTime)
}

// admit returns an error if a request must not queue. The caller holds mu.
func (g *group) admitToQueue(now time.Time, r *forwardOptions, deadline time.Time, wait bool) error {
	load := g.load(now)
	if load.UsableEndpoints == 0 {
		return savorystep.NewError(savorystep.KindNoUpstream, "no usable endpoint of %s in %s", g.service, g.region)
	}
	if !g.anyUsableFor(now, r) {
		return savorystep.NewError(savorystep.KindNoUpstream, "no other usable endpoint of %s in %s", g.service, g.region)
	}
	estimate := g.estimateWait(load)
	if !wait || len(g.waiters) >= g.limits.QueueFactor*int(load.Slots) {
		return overloadedError(estimate, "no free slot of %s in %s", g.service, g.region)
	}
	if !deadline.IsZero() && now.Add(estimate).After(deadline) {
		return overloadedError(estimate, "the wait for %s in %s exceeds the deadline", g.service, g.region)
	}
	return nil
}

// overloaded returns an error with the estimated wait as its delay.
func overloadedError(estimate time.Duration, format string, args ...any) error {
	err := savorystep.NewError(savorystep.KindOverloaded, format, args...)
	err.RetryDelay = max(estimate, 100*time.Millisecond)
	return err
}

// anyAllowed reports whether a usable endpoint is not on the route's list of
// endpoints to avoid. The caller holds mu.
func (g *group) anyUsableFor(now time.Time, r *forwardOptions) bool {
	if len(r.avoid) == 0 {
		return true
	}
	assessment := g.assess(now)
	for _, e := range g.endpoints {
		if !r.avoids(e.info.ID) && e.health.Usable(now, assessment.TrustLoadPages) {
			return true
		}
	}
	return false
}

// estimate returns how long a request that joins the queue now will wait: one
// slot becomes free in each usual time divided by the slots.
func (g *group) estimateWait(load savorystep.RegionLoad) time.Duration {
	usual := g.serviceTime
	if usual == 0 {
		usual = initialServiceTime
	}
	return usual * time.Duration(len(g.waiters)+1) / time.Duration(max(1, load.Slots))
}

// await waits until the waiter gets an endpoint, ctx ends or the deadline
// passes.
func (g *group) awaitSlot(ctx context.Context, w *waiter, deadline time.Time) (*endpoint, error) {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(deadline.Sub(g.clock.Now()))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case e := <-w.granted:
		return e, nil
	case <-ctx.Done():
	case <-expired:
	}
	g.mu.Lock()
	index := slices.Index(g.waiters, w)
	if index >= 0 {
		g.waiters = slices.Delete(g.waiters, index, index+1)
	}
	g.mu.Unlock()
	if index < 0 {
		// The slot was granted at the same time; the caller gets it and
		// notices the end itself.
		return <-w.granted, nil
	}
	return nil, savorystep.NewError(savorystep.KindOverloaded, "the request ended in the queue of %s in %s", g.service, g.region)
}

// dispatch hands free slots to waiters in the order of their arrival. A waiter
// whose endpoints to avoid leave it none is passed over. The caller holds mu.
func (g *group) dispatch(now time.Time) {
	kept := g.waiters[:0]
	full := false
	for _, w := range g.waiters {
		if full {
			kept = append(kept, w)
			continue
		}
		e := g.pick(now, &w.options)
		if e == nil {
			full = len(w.options.avoid) == 0
			kept = append(kept, w)
			continue
		}
		w.granted <- e
	}
	clear(g.waiters[len(kept):])
	g.waiters = kept
}

// giveBack returns a slot. The time that a request held it, 0 if it was not
// sent, goes into the averages.
func (g *group) releaseSlot(e *endpoint, held time.Duration) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e.ownInFlight--
	if held > 0 {
		e.serviceTime = movingAverage(e.serviceTime, held)
		g.serviceTime = movingAverage(g.serviceTime, held)
	}
	g.dispatch(now)
}

// average adds a value to a moving average.
func movingAverage(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/serviceTimeDivisor
}

// find returns the endpoint with an ID, or nil. The caller holds mu.
func (g *group) find(id savorystep.EndpointID) *endpoint {
	for _, e := range g.endpoints {
		if e.info.ID == id {
			return e
		}
	}
	return nil
}

// update replaces the list of endpoints. State is kept for an endpoint whose
// address is unchanged. It returns the links that were given up. The caller
// holds mu.
func (g *group) updateEndpoints(list []savorystep.Endpoint, base *timebase, now time.Time) []*connSet {
	var dropped []*connSet
	endpoints := make([]*endpoint, 0, len(list))
	for _, info := range list {
		e := g.find(info.ID)
		if e == nil || e.info.Address != info.Address {
			e = newEndpoint(info, base, g.limits)
			// Spread, so that a start does not read all pages at once. An
			// endpoint that is not used yet is read at the slow rate.
			e.loadPageRequestedAt = now.Add(time.Duration((rand.Float64() - unusedPageFactor) * float64(g.limits.LoadPageInterval)))
			if len(g.endpoints) > 0 {
				e.health.BeginSlowStart(now)
			}
		}
		e.info = info
		e.health.SetListedState(info.State)
		endpoints = append(endpoints, e)
	}
	for _, old := range g.endpoints {
		if !slices.Contains(endpoints, old) {
			dropped = append(dropped, old.conns)
		}
	}
	g.endpoints = endpoints
	g.healths = g.healths[:0]
	for _, e := range endpoints {
		g.healths = append(g.healths, e.health)
	}
	g.dispatch(now)
	return dropped
}
