package upstream

import (
	"context"
	"fmt"
	"time"

	"savorystep"
)

// Forward sends a request to an endpoint and returns its response, whose body
// must be closed. It chooses the region, then acquires a slot of an endpoint
// and the permits that the request needs. If no slot is free, the request may
// wait in the queue of the first region tried.
func (p *Pool) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	options := optionsFrom(ctx)
	leased, err := p.acquireLease(ctx, request, &options)
	if err != nil {
		return nil, err
	}
	return p.send(ctx, request, leased, options)
}

// acquireLease acquires a slot and permits in the first region, in the order of
// preference, that grants them. The request may queue in the first region tried
// only.
func (p *Pool) acquireLease(ctx context.Context, request *savorystep.Request, options *forwardOptions) (*lease, error) {
	now := p.clock.Now()
	var loadBuffer [8]savorystep.RegionLoad
	var orderBuffer [8]savorystep.Decision
	loads := p.appendRegionLoads(loadBuffer[:0], request.Service, now)
	order := Order(orderBuffer[:0], request.Record, request.Block, request.Home, loads, now)
	if len(order) == 0 {
		return nil, savorystep.NewError(savorystep.KindNoUpstream, "the record of service %s has no share", request.Service)
	}
	var firstErr error
	triedRegion := false
	for i := range order {
		g := p.groupIn(request.Service, order[i].Region)
		if g == nil {
			continue
		}
		if err := p.admitFailover(g, order[i], now); err != nil {
			firstErr = firstError(firstErr, err)
			continue
		}
		leased, err := p.acquireLeaseIn(ctx, request, options, g, order[i], !triedRegion)
		if err == nil {
			return leased, nil
		}
		triedRegion = true
		firstErr = firstError(firstErr, err)
		if ctx.Err() != nil {
			break
		}
	}
	if firstErr == nil {
		firstErr = savorystep.NewError(savorystep.KindNoUpstream, "no endpoint of service %s is known", request.Service)
	}
	p.recordRefusal(request, order[0].Region, firstErr)
	return nil, firstErr
}

// firstError returns the first error that is not nil.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// recordRefusal records an event about rejected requests, at most one per
// second, so that an overload does not displace all other events.
func (p *Pool) recordRefusal(request *savorystep.Request, region savorystep.Region, err error) {
	p.refusedSinceEvent.Add(1)
	now := p.base.now()
	lastEvent := p.refusalEventAt.Load()
	if lastEvent != 0 && now-lastEvent < int64(time.Second) || !p.refusalEventAt.CompareAndSwap(lastEvent, now) {
		return
	}
	p.record(savorystep.Event{
		Kind: savorystep.EventRefuse, Service: request.Service, Region: region, Request: request.ID,
		Text: fmt.Sprintf("%d requests refused, the last one: %v", p.refusedSinceEvent.Swap(0), err),
	})
}

// groupIn returns the group of a service in a region, or nil.
func (p *Pool) groupIn(service savorystep.Service, region savorystep.Region) *group {
	for _, g := range p.groupsOf(service) {
		if g.region == region {
			return g
		}
	}
	return nil
}

// acquireLeaseIn acquires a slot and permits in one region.
func (p *Pool) acquireLeaseIn(ctx context.Context, request *savorystep.Request, options *forwardOptions, g *group,
	decision savorystep.Decision, mayQueue bool,
) (*lease, error) {
	e, err := g.acquire(ctx, options, request.Deadline, mayQueue)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return nil, savorystep.NewError(savorystep.KindNoUpstream, "all endpoints of service %s in region %s became unusable while the request was queued", g.service, g.region)
	}
	leased := &lease{group: g, endpoint: e, decision: decision}
	isPassedOn := false
	defer func() {
		if !isPassedOn {
			leased.release(0)
		}
	}()
	g.mu.Lock()
	leased.conns, leased.info = e.conns, e.info
	g.mu.Unlock()
	if err := p.acquirePermits(request, leased); err != nil {
		return nil, err
	}
	isPassedOn = true
	return leased, nil
}

// acquirePermits acquires a permit of each budget that the request needs: those
// of the capped shifts that move its block, and that of the region's limit.
func (p *Pool) acquirePermits(request *savorystep.Request, leased *lease) error {
	record := request.Record
	now := p.clock.Now()
	for _, shift := range p.cappedShifts(request, leased.decision, now) {
		name := savorystep.ShiftBudget(request.Service, shift.From, shift.To)
		if err := p.acquirePermit(now, leased, name, shift.Cap); err != nil {
			return err
		}
	}
	region := leased.decision.Region
	if limit, ok := record.InFlightLimits[region]; ok {
		return p.acquirePermit(now, leased, savorystep.RegionBudget(request.Service, region), limit)
	}
	return nil
}

// cappedShifts returns the shifts with a cap that led to a decision. A block
// that is moved by several shifts needs a permit of each.
func (p *Pool) cappedShifts(request *savorystep.Request, decision savorystep.Decision, now time.Time) []*savorystep.Shift {
	if decision.Shift == nil {
		return nil
	}
	shifts := shiftsLeadingTo(request.Record, request.Block, request.Home, decision, now)
	capped := shifts[:0]
	for _, shift := range shifts {
		if shift.Cap > 0 {
			capped = append(capped, shift)
		}
	}
	return capped
}

// acquirePermit acquires one permit of a budget.
func (p *Pool) acquirePermit(now time.Time, leased *lease, name savorystep.BudgetName, limit savorystep.Slots) error {
	if p.config.Budgets == nil {
		return savorystep.NewError(savorystep.KindCapReached, "budget %s is not available: no budgets are configured", name)
	}
	permit, err := p.config.Budgets.Acquire(now, name, limit)
	if err != nil {
		return err
	}
	leased.permits = append(leased.permits, permit)
	return nil
}
