package cmd

import (
	"net/http"
	"sync"
	"time"

	"savorystep"
	"savorystep/standin"
)

// A siteProbe measures at the upstreams which requests actually run.
type siteProbe struct {
	shape standin.Shape

	mu         sync.Mutex
	flows      map[siteFlow]*flowCount
	lastStarts map[serviceRegion]time.Time
	lastEnds   map[serviceRegion]time.Time
}

// A siteFlow is the traffic of a service from callers in a region to upstreams in a
// region.
type siteFlow struct {
	service  savorystep.Service
	from, to savorystep.Region
}

// A serviceRegion is a service in a region.
type serviceRegion struct {
	service savorystep.Service
	region  savorystep.Region
}

// A flowCount counts the requests of a flow: those that run now, the maximum of
// these, and all that have started.
type flowCount struct {
	running, maxRunning, total int
}

// newSiteProbe returns a probe without counts.
func newSiteProbe(shape standin.Shape) *siteProbe {
	return &siteProbe{
		shape:      shape,
		flows:      make(map[siteFlow]*flowCount),
		lastStarts: make(map[serviceRegion]time.Time),
		lastEnds:   make(map[serviceRegion]time.Time),
	}
}

// observer returns the function that an endpoint calls at the start and end of each
// request.
func (p *siteProbe) observer(endpoint savorystep.Endpoint) func(r *http.Request, running bool) {
	return func(r *http.Request, running bool) {
		p.observe(endpoint, siteCallerRegion(p.shape, r.Header.Get(savorystep.HeaderFrom)), running)
	}
}

// observe counts the start of a request, or its end if running is false.
func (p *siteProbe) observe(endpoint savorystep.Endpoint, from savorystep.Region, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	flow := siteFlow{service: endpoint.Service, from: from, to: endpoint.Place.Region}
	count, ok := p.flows[flow]
	if !ok {
		count = &flowCount{}
		p.flows[flow] = count
	}
	target := serviceRegion{service: endpoint.Service, region: endpoint.Place.Region}
	if !running {
		count.running--
		p.lastEnds[target] = time.Now()
		return
	}
	count.running++
	count.total++
	count.maxRunning = max(count.maxRunning, count.running)
	p.lastStarts[target] = time.Now()
}

// reset starts a new measurement. It keeps the counts of requests that still run, and
// the times of the last ends.
func (p *siteProbe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.flows {
		count.maxRunning = count.running
		count.total = 0
	}
	clear(p.lastStarts)
}

// flow returns the counts of a flow, all zero if no request of it was seen.
func (p *siteProbe) flow(flow siteFlow) flowCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count, ok := p.flows[flow]; ok {
		return *count
	}
	return flowCount{}
}

// lastStart returns when the last request of a service started in a region, zero if
// none has since the last reset.
func (p *siteProbe) lastStart(service savorystep.Service, region savorystep.Region) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastStarts[serviceRegion{service: service, region: region}]
}

// lastEnd returns when the last request of a service ended in a region, zero if none
// has.
func (p *siteProbe) lastEnd(service savorystep.Service, region savorystep.Region) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEnds[serviceRegion{service: service, region: region}]
}

// runningCount returns the number of requests of a service that run in a region.
func (p *siteProbe) runningCount(service savorystep.Service, region savorystep.Region) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for flow, count := range p.flows {
		if flow.service == service && flow.to == region {
			sum += count.running
		}
	}
	return sum
}
