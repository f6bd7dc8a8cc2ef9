package upstream

import (
	"context"
	"fmt"
	"time"

	"savorystep"
)

// Forward runs a request on an endpoint: it chooses the region, takes a slot
// and budget units, sends the request and returns the answer, whose body must
// be closed. Without a slot the request waits in the queue of its region.
func (p *Pool) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	r := optionsFrom(ctx)
	leased, err := p.acquireLease(ctx, request, &r)
	if err != nil {
		return nil, err
	}
	return p.send(ctx, request, leased, r)
}

// lease takes a slot and budget units in the best region that gives them. It
// queues only in the first choice.
func (p *Pool) acquireLease(ctx context.Context, request *savorystep.Request, r *forwardOptions) (*lease, error) {
	now := p.clock.Now()
	var loadBuffer [8]savorystep.RegionLoad
	var orderBuffer [8]savorystep.Decision
	loads := p.appendRegions(loadBuffer[:0], request.Service, now)
	order := Order(orderBuffer[:0], request.Record, request.Block, request.Home, loads, now)
	if len(order) == 0 {
		return nil, savorystep.NewError(savorystep.KindNoUpstream, "the record of %s has no share", request.Service)
	}
	var first error
	waited := false
	for i := range order {
		g := p.groupIn(request.Service, order[i].Region)
		if g == nil {
			continue
		}
		if err := p.admitFailover(g, order[i], now); err != nil {
			first = firstError(first, err)
			continue
		}
		leased, err := p.acquireLeaseIn(ctx, request, r, g, order[i], !waited)
		if err == nil {
			return leased, nil
		}
		waited = true
		first = firstError(first, err)
		if ctx.Err() != nil {
			break
		}
	}
	if first == nil {
		first = savorystep.NewError(savorystep.KindNoUpstream, "no endpoint of %s is known", request.Service)
	}
	p.recordRefusal(request, order[0].Region, first)
	return nil, first
}

// firstError returns the earlier of two errors.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// recordRefusal keeps the event of a refused request, at most one each second,
// so that an overload does not displace all other events.
func (p *Pool) recordRefusal(request *savorystep.Request, region savorystep.Region, err error) {
	p.refusedSinceEvent.Add(1)
	now := p.base.now()
	last := p.refusalEventAt.Load()
	if last != 0 && now-last < int64(time.Second) || !p.refusalEventAt.CompareAndSwap(last, now) {
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

// leaseIn takes a slot and budget units in one region.
func (p *Pool) acquireLeaseIn(ctx context.Context, request *savorystep.Request, r *forwardOptions, g *group,
	decision savorystep.Decision, wait bool,
) (*lease, error) {
	e, err := g.acquire(ctx, r, request.Deadline, wait)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return nil, savorystep.NewError(savorystep.KindNoUpstream, "all endpoints of %s in %s were lost", g.service, g.region)
	}
	leased := &lease{group: g, endpoint: e, decision: decision}
	g.mu.Lock()
	leased.conns, leased.info = e.conns, e.info
	g.mu.Unlock()
	if err := p.acquireUnits(request, leased); err != nil {
		leased.release(0)
		return nil, err
	}
	return leased, nil
}

// acquireUnits takes a unit of each budget that the request needs: the caps of
// the shifts that move its block and the limit of its region.
func (p *Pool) acquireUnits(request *savorystep.Request, leased *lease) error {
	record := request.Record
	now := p.clock.Now()
	for _, shift := range p.cappedShifts(request, leased.decision, now) {
		name := savorystep.ShiftBudget(request.Service, shift.From, shift.To)
		if err := p.acquireUnit(now, leased, name, shift.Cap); err != nil {
			return err
		}
	}
	region := leased.decision.Region
	if limit, ok := record.InFlightLimits[region]; ok {
		return p.acquireUnit(now, leased, savorystep.RegionBudget(request.Service, region), limit)
	}
	return nil
}

// capped returns the shifts with a cap that led to a decision. A block that
// follows several shifts needs a unit of each.
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

// acquireUnit takes one unit of a budget.
func (p *Pool) acquireUnit(now time.Time, leased *lease, name savorystep.BudgetName, limit savorystep.Slots) error {
	if p.config.Budgets == nil {
		return savorystep.NewError(savorystep.KindCapReached, "the budget %s is not available", name)
	}
	hold, err := p.config.Budgets.Acquire(now, name, limit)
	if err != nil {
		return err
	}
	leased.holds = append(leased.holds, hold)
	return nil
}
