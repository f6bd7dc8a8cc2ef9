package upstream

import (
	"context"
	"slices"
	"strings"

	"savorystep"
)

// followList reads the platform's list until ctx is cancelled.
func (p *Pool) pollEndpoints(ctx context.Context) {
	failing := false
	for {
		// A hanging platform must not stop the poll forever.
		readCtx, cancel := context.WithTimeout(ctx, 5*p.limits.PollInterval)
		list, err := p.config.Registry.Endpoints(readCtx)
		cancel()
		switch {
		case err == nil:
			p.applyEndpoints(list)
			failing = false
		case !failing && ctx.Err() == nil:
			log.Warningf("the list of endpoints cannot be read, the last one stays in use: %v", err)
			failing = true
		}
		if !savorystep.Sleep(ctx, savorystep.NextPollDelay(p.limits.PollInterval, p.instanceCount())) {
			return
		}
	}
}

// instances returns how many instances run, as far as this one knows.
func (p *Pool) instanceCount() int {
	if p.config.Members == nil {
		return 1
	}
	return len(p.config.Members.Members(p.clock.Now()))
}

// groupKey names a group.
type groupKey struct {
	service savorystep.Service
	region  savorystep.Region
}

// applyList replaces the endpoints. An endpoint that is listed as ended or no
// longer listed gets no new requests. An empty list is ignored: it says more
// about the platform than about all upstreams at once.
func (p *Pool) applyEndpoints(list []savorystep.Endpoint) {
	parts := make(map[groupKey][]savorystep.Endpoint)
	for _, info := range list {
		if info.State == savorystep.StateEnded || info.Slots <= 0 {
			continue
		}
		key := groupKey{info.Service, info.Place.Region}
		parts[key] = append(parts[key], info)
	}
	if len(parts) == 0 {
		return
	}
	now := p.clock.Now()
	known := p.mergeGroups(parts)
	var dropped []*connSet
	for key, g := range known {
		g.mu.Lock()
		dropped = append(dropped, g.updateEndpoints(parts[key], p.base, now)...)
		g.mu.Unlock()
	}
	for _, l := range dropped {
		l.retire()
	}
}

// mergeGroups adds groups for new services and regions and indexes the
// endpoints. It returns all groups.
func (p *Pool) mergeGroups(parts map[groupKey][]savorystep.Endpoint) map[groupKey]*group {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[groupKey]*group)
	for service, groups := range p.groups {
		for _, g := range groups {
			known[groupKey{service, g.region}] = g
		}
	}
	byID := make(map[savorystep.EndpointID]*group)
	for key, infos := range parts {
		g := known[key]
		if g == nil {
			g = &group{
				service: key.service, region: key.region, ownZone: p.config.Self.Place.Zone,
				limits: &p.limits, clock: p.clock, ramp: NewRamp(p.limits.Ramp),
			}
			known[key] = g
			// Readers hold the old slice, so it is not changed in place.
			groups := append(slices.Clone(p.groups[key.service]), g)
			slices.SortFunc(groups, func(a, b *group) int { return strings.Compare(string(a.region), string(b.region)) })
			p.groups[key.service] = groups
		}
		for _, info := range infos {
			byID[info.ID] = g
		}
	}
	p.byID = byID
	return known
}
