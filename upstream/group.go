package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"savorystep"
)

// initialServiceTime is the assumed service time before any was measured.
const initialServiceTime = 20 * time.Millisecond

// serviceTimeDivisor is the inverse weight of one request in the moving average
// of the service time.
const serviceTimeDivisor = 8

// A group holds the endpoints of a service in a region and their queue.
type group struct {
	service savorystep.Service
	region  savorystep.Region
	ownZone savorystep.Zone
	limits  *Limits
	clock   savorystep.Clock

	mu        sync.Mutex
	endpoints []*endpoint
	healths   []*Health
	// waiters are the queued requests in the order of arrival.
	waiters []*waiter
	// serviceTime is the moving average over all endpoints, 0 before the first
	// request.
	serviceTime time.Duration
	// ramp limits the growth of failover traffic into the region.
	ramp *Ramp
	// candidateBuffer is reused by calls of pick.
	candidateBuffer []Candidate
	// suspectSince is the time since which more than half of the endpoints have
	// looked dead to this instance but not to its peers.
	suspectSince time.Time
}

// assess compares the endpoints of the group. The caller holds mu.
func (g *group) assess(now time.Time) Assessment {
	return Assess(g.healths, now)
}

// pick chooses an endpoint with a free slot and reserves the slot. It returns
// nil if there is none. The caller holds mu.
func (g *group) pick(now time.Time, options *forwardOptions) *endpoint {
	assessment := g.assess(now)
	g.candidateBuffer = g.candidateBuffer[:0]
	for _, e := range g.endpoints {
		var c Candidate
		if e.health.Usable(now, assessment.TrustLoadPages) && !e.health.Paused(now) && !options.avoids(e.info.ID) {
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

// load returns the load of the service in the region. The caller holds mu.
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

// acquire reserves a slot and returns its endpoint. If mayQueue is true and no
// slot is free, the request waits in the queue while there is room in it and
// the estimated wait ends before the deadline. The endpoint is nil if all
// endpoints became unusable meanwhile.
func (g *group) acquire(ctx context.Context, options *forwardOptions, deadline time.Time, mayQueue bool) (*endpoint, error) {
	now := g.clock.Now()
	g.mu.Lock()
	if len(g.waiters) == 0 || !mayQueue {
		if e := g.pick(now, options); e != nil {
			g.mu.Unlock()
			return e, nil
		}
	}
	latestStart := g.latestStart(deadline)
	if err := g.admitToQueue(now, options, latestStart, mayQueue); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	w := &waiter{options: *options, granted: make(chan *endpoint, 1)}
	g.waiters = append(g.waiters, w)
	g.mu.Unlock()
	return g.awaitSlot(ctx, w, latestStart)
}

// latestStart returns until when a request may wait for a slot, such that twice
// the average service time remains before the deadline. The caller holds mu.
func (g *group) latestStart(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-2 * g.serviceTime)
}

// admitToQueue returns an error if a request must not enter the queue. The
// caller holds mu.
func (g *group) admitToQueue(now time.Time, options *forwardOptions, latestStart time.Time, mayQueue bool) error {
	load := g.load(now)
	if load.UsableEndpoints == 0 {
		return savorystep.NewError(savorystep.KindNoUpstream, "no usable endpoint of service %s in region %s", g.service, g.region)
	}
	if !g.anyUsableFor(now, options) {
		return savorystep.NewError(savorystep.KindNoUpstream, "no usable endpoint of service %s in region %s other than those to avoid", g.service, g.region)
	}
	estimate := g.estimateWait(load)
	if !mayQueue || len(g.waiters) >= g.limits.QueueFactor*int(load.Slots) {
		return overloadedError(estimate, "no free slot of service %s in region %s, %d requests queued", g.service, g.region, len(g.waiters))
	}
	if !latestStart.IsZero() && now.Add(estimate).After(latestStart) {
		return overloadedError(estimate, "estimated wait of %s for service %s in region %s exceeds the deadline", estimate, g.service, g.region)
	}
	return nil
}

// overloadedError returns an error with the estimated wait as its retry delay.
func overloadedError(estimate time.Duration, format string, args ...any) error {
	err := savorystep.NewError(savorystep.KindOverloaded, format, args...)
	err.RetryDelay = max(estimate, 100*time.Millisecond)
	return err
}

// anyUsableFor reports whether a usable endpoint is not on the request's list
// of endpoints to avoid. The caller holds mu.
func (g *group) anyUsableFor(now time.Time, options *forwardOptions) bool {
	if len(options.avoid) == 0 {
		return true
	}
	assessment := g.assess(now)
	for _, e := range g.endpoints {
		if !options.avoids(e.info.ID) && e.health.Usable(now, assessment.TrustLoadPages) {
			return true
		}
	}
	return false
}

// estimateWait returns how long a request that joins the queue now will wait.
// On average, one slot becomes free per service time divided by the number of
// slots.
func (g *group) estimateWait(load savorystep.RegionLoad) time.Duration {
	serviceTime := g.serviceTime
	if serviceTime == 0 {
		serviceTime = initialServiceTime
	}
	return serviceTime * time.Duration(len(g.waiters)+1) / time.Duration(max(1, load.Slots))
}

// awaitSlot waits until the waiter is granted a slot, ctx ends or latestStart
// passes.
func (g *group) awaitSlot(ctx context.Context, w *waiter, latestStart time.Time) (*endpoint, error) {
	var expired <-chan time.Time
	if !latestStart.IsZero() {
		timer := time.NewTimer(latestStart.Sub(g.clock.Now()))
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
		// The slot was granted at the same time. The caller of acquire gets it
		// and detects by itself that ctx ended.
		return <-w.granted, nil
	}
	return nil, savorystep.NewError(savorystep.KindOverloaded, "request cancelled or out of time in the queue of service %s in region %s", g.service, g.region)
}

// dispatch grants free slots to waiters in the order of arrival. A waiter is
// skipped if all endpoints with a free slot are on its list of endpoints to
// avoid. The caller holds mu.
func (g *group) dispatch(now time.Time) {
	remaining := g.waiters[:0]
	full := false
	for _, w := range g.waiters {
		if full {
			remaining = append(remaining, w)
			continue
		}
		e := g.pick(now, &w.options)
		if e == nil {
			full = len(w.options.avoid) == 0
			remaining = append(remaining, w)
			continue
		}
		w.granted <- e
	}
	clear(g.waiters[len(remaining):])
	g.waiters = remaining
}

// releaseSlot returns a slot. heldFor is how long a request held it and goes
// into the average service times; it is 0 if the request was not sent.
func (g *group) releaseSlot(e *endpoint, heldFor time.Duration) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e.ownInFlight--
	if heldFor > 0 {
		e.serviceTime = movingAverage(e.serviceTime, heldFor)
		g.serviceTime = movingAverage(g.serviceTime, heldFor)
	}
	g.dispatch(now)
}

// movingAverage returns the moving average after adding a value.
func movingAverage(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/serviceTimeDivisor
}

// findEndpoint returns the endpoint with the given ID, or nil. The caller holds
// mu.
func (g *group) findEndpoint(id savorystep.EndpointID) *endpoint {
	for _, e := range g.endpoints {
		if e.info.ID == id {
			return e
		}
	}
	return nil
}

// updateEndpoints replaces the list of endpoints. The state of an endpoint is
// kept if it runs in the same process. It returns the endpoints that are gone.
// The caller holds mu.
func (g *group) updateEndpoints(list []savorystep.Endpoint, base *timebase, now time.Time) []*endpoint {
	var gone []*endpoint
	endpoints := make([]*endpoint, 0, len(list))
	for _, info := range list {
		e := g.findEndpoint(info.ID)
		if e == nil || !e.isSameProcess(info) {
			e = newEndpoint(info, base, g.limits)
			// The first reads of load pages are spread over an interval, so
			// that they do not all happen at the start. A new endpoint is
			// unused, so its page is read at the slow rate.
			e.loadPageRequestedAt = now.Add(time.Duration((rand.Float64() - unusedLoadPageFactor) * float64(g.limits.LoadPageInterval)))
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
			gone = append(gone, old)
		}
	}
	g.endpoints = endpoints
	g.healths = g.healths[:0]
	for _, e := range endpoints {
		g.healths = append(g.healths, e.health)
	}
	g.dispatch(now)
	return gone
}
