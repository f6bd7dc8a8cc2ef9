package cmd

import (
	"net/http"
	"sync"
	"time"

	"savorystep"
	"savorystep/standin"
)

// A siteProbe sees at the upstreams what really runs.
type siteProbe struct {
	shape standin.Shape

	mu         sync.Mutex
	flows      map[siteFlow]*flowCount
	lastStarts map[serviceRegion]time.Time
	lastEnds   map[serviceRegion]time.Time
}

// A siteFlow is the traffic of one service from the callers of a region to the
// upstreams of a region.
type siteFlow struct {
	service  savorystep.Service
	from, to savorystep.Region
}

// A serviceRegion is a service in a region.
type serviceRegion struct {
	service savorystep.Service
	region  savorystep.Region
}

// A flowCount counts requests that run.
type flowCount struct {
	running, maxRunning, total int
}

// newSiteProbe returns a probe that has seen nothing.
func newSiteProbe(shape standin.Shape) *siteProbe {
	return &siteProbe{
		shape:      shape,
		flows:      make(map[siteFlow]*flowCount),
		lastStarts: make(map[serviceRegion]time.Time),
		lastEnds:   make(map[serviceRegion]time.Time),
	}
}

// observer returns the observer of one endpoint.
func (p *siteProbe) observer(endpoint savorystep.Endpoint) func(r *http.Request, running bool) {
	return func(r *http.Request, running bool) {
		p.observe(endpoint, siteCallerRegion(p.shape, r.Header.Get(savorystep.HeaderFrom)), running)
	}
}

// observe counts the begin or end of a request.
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

// reset forgets the counts of requests that have ended.
func (p *siteProbe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.flows {
		count.maxRunning = count.running
		count.total = 0
	}
	clear(p.lastStarts)
}

// flow returns the counts of a flow.
func (p *siteProbe) flow(flow siteFlow) flowCount {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count, ok := p.flows[flow]; ok {
		return *count
	}
	return flowCount{}
}

// lastStart returns when the last new request of a service began in a region.
func (p *siteProbe) lastStart(service savorystep.Service, region savorystep.Region) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastStarts[serviceRegion{service: service, region: region}]
}

// lastEnd returns when the last request of a service ended in a region.
func (p *siteProbe) lastEnd(service savorystep.Service, region savorystep.Region) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEnds[serviceRegion{service: service, region: region}]
}

// runningCount returns how many requests of a service run in a region.
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
