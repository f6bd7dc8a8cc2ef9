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

	mu     sync.Mutex
	flows  map[siteFlow]*flowCount
	latest map[flowTarget]time.Time
	ended  map[flowTarget]time.Time
}

// A siteFlow is the traffic of one service from the callers of a region to the
// upstreams of a region.
type siteFlow struct {
	service  savorystep.Service
	from, to savorystep.Region
}

// A flowTarget is a service in a region.
type flowTarget struct {
	service savorystep.Service
	region  savorystep.Region
}

// A flowCount counts requests that run.
type flowCount struct {
	running, most, total int
}

// newSiteProbe returns a probe that has seen nothing.
func newSiteProbe(shape standin.Shape) *siteProbe {
	return &siteProbe{
		shape:  shape,
		flows:  make(map[siteFlow]*flowCount),
		latest: make(map[flowTarget]time.Time),
		ended:  make(map[flowTarget]time.Time),
	}
}

// observer returns the observer of one endpoint.
func (p *siteProbe) observer(endpoint savorystep.Endpoint) func(r *http.Request, running bool) {
	return func(r *http.Request, running bool) {
		p.observe(endpoint, siteRegion(p.shape, r.Header.Get(savorystep.HeaderFrom)), running)
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
	target := flowTarget{service: endpoint.Service, region: endpoint.Place.Region}
	if !running {
		count.running--
		p.ended[target] = time.Now()
		return
	}
	count.running++
	count.total++
	count.most = max(count.most, count.running)
	p.latest[target] = time.Now()
}

// reset forgets the counts of requests that have ended.
func (p *siteProbe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.flows {
		count.most = count.running
		count.total = 0
	}
	clear(p.latest)
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

// lastNew returns when the last new request of a service began in a region.
func (p *siteProbe) lastNew(service savorystep.Service, region savorystep.Region) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest[flowTarget{service: service, region: region}]
}

// lastEnd returns when the last request of a service ended in a region.
func (p *siteProbe) lastEnd(service savorystep.Service, region savorystep.Region) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended[flowTarget{service: service, region: region}]
}

// runningIn returns how many requests of a service run in a region.
func (p *siteProbe) runningIn(service savorystep.Service, region savorystep.Region) int {
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
