package upstream

import (
	"context"
	"slices"
	"strings"

	"savorystep"
)

// pollEndpoints reads the platform's endpoint list until ctx is cancelled.
func (p *Pool) pollEndpoints(ctx context.Context) {
	lastReadFailed := false
	for {
		// A read that hangs must not stop the polling.
		readCtx, cancel := context.WithTimeout(ctx, 5*p.limits.PollInterval)
		list, err := p.config.Registry.Endpoints(readCtx)
		cancel()
		switch {
		case err == nil:
			p.applyEndpoints(list)
			lastReadFailed = false
		case !lastReadFailed && ctx.Err() == nil:
			log.Warningf("read endpoint list: %v; continuing with the last list", err)
			lastReadFailed = true
		}
		if !savorystep.Sleep(ctx, savorystep.NextPollDelay(p.limits.PollInterval, p.instanceCount())) {
			return
		}
	}
}

// instanceCount returns the number of instances known to this one, 1 without a
// membership.
func (p *Pool) instanceCount() int {
	if p.config.Members == nil {
		return 1
	}
	return len(p.config.Members.Members(p.clock.Now()))
}

// A groupKey identifies a group.
type groupKey struct {
	service savorystep.Service
	region  savorystep.Region
}

// applyEndpoints replaces the endpoints by those of a list. An endpoint that is
// listed as ended, has no slots or is missing gets no new requests. A list
// without usable endpoints is ignored, because a fault of the platform is more
// likely than the end of all upstreams at once.
func (p *Pool) applyEndpoints(list []savorystep.Endpoint) {
	listed := make(map[groupKey][]savorystep.Endpoint)
	for _, info := range list {
		if info.State == savorystep.StateEnded || info.Slots <= 0 {
			continue
		}
		key := groupKey{info.Service, info.Place.Region}
		listed[key] = append(listed[key], info)
	}
	if len(listed) == 0 {
		return
	}
	now := p.clock.Now()
	groups := p.mergeGroups(listed)
	var actions []deferredAction
	for key, g := range groups {
		g.mu.Lock()
		for _, e := range g.updateEndpoints(listed[key], p.base, now) {
			actions = p.retire(e, actions)
		}
		g.mu.Unlock()
	}
	for _, action := range actions {
		action()
	}
}

// retire closes the connections to an endpoint that is gone, and withdraws the
// report to the peers that it is ejected. The caller holds the group's lock.
func (p *Pool) retire(e *endpoint, actions []deferredAction) []deferredAction {
	actions = append(actions, e.conns.retire)
	if !e.publishedEjected {
		return actions
	}
	e.publishedEjected = false
	subject := string(e.info.ID)
	return append(actions, func() {
		p.config.Facts.Publish(savorystep.FactHealth, subject, savorystep.HealthFact{})
	})
}

// mergeGroups adds groups for new services and regions, rebuilds the index of
// endpoints and returns all groups.
func (p *Pool) mergeGroups(listed map[groupKey][]savorystep.Endpoint) map[groupKey]*group {
	p.mu.Lock()
	defer p.mu.Unlock()
	merged := make(map[groupKey]*group)
	for service, groups := range p.groups {
		for _, g := range groups {
			merged[groupKey{service, g.region}] = g
		}
	}
	byID := make(map[savorystep.EndpointID]*group)
	for key, infos := range listed {
		g := merged[key]
		if g == nil {
			g = &group{
				service: key.service, region: key.region, ownZone: p.config.Self.Place.Zone,
				limits: &p.limits, clock: p.clock, ramp: NewRamp(p.limits.Ramp),
			}
			merged[key] = g
			// Readers may hold the old slice, so it is not modified in place.
			groups := append(slices.Clone(p.groups[key.service]), g)
			slices.SortFunc(groups, func(a, b *group) int { return strings.Compare(string(a.region), string(b.region)) })
			p.groups[key.service] = groups
		}
		for _, info := range infos {
			byID[info.ID] = g
		}
	}
	p.byID = byID
	return merged
}
