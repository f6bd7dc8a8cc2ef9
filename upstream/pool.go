package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
)

var (
	_ savorystep.Forwarder = &Pool{}
	_ savorystep.Endpoints = &Pool{}
	_ savorystep.Runner    = &Pool{}
)

const log = savorystep.Logger("upstream")

// A Pool is the set of upstream endpoints that this instance may use, with the
// connections to them.
type Pool struct {
	config Config
	limits Limits
	clock  savorystep.Clock
	base   *timebase
	// background counts attempts that run on after their caller has gone and
	// short tasks of the watch.
	background taskGroup
	suspect    atomic.Bool
	// refusals counts refused requests since the last event about them.
	refusedSinceEvent atomic.Int64
	refusalEventAt    atomic.Int64

	mu     sync.RWMutex
	groups map[savorystep.Service][]*group
	byID   map[savorystep.EndpointID]*group
	// heard is when each other instance was last heard.
	peerReceivedAt map[savorystep.InstanceID]time.Time
	// lastPeer is when any other instance was last heard.
	lastPeerFactAt time.Time
}

// New returns a pool without endpoints. Start begins to follow the platform's
// list.
func New(config Config) *Pool {
	if config.Clock == nil {
		config.Clock = savorystep.SystemClock{}
	}
	p := &Pool{
		config:         config,
		limits:         config.Limits.withDefaults(),
		clock:          config.Clock,
		base:           newTimebase(config.Clock),
		groups:         make(map[savorystep.Service][]*group),
		byID:           make(map[savorystep.EndpointID]*group),
		peerReceivedAt: make(map[savorystep.InstanceID]time.Time),
	}
	p.limits.wrapConn = config.WrapConn
	p.subscribe()
	return p
}

// Start follows the platform's list, reads load pages, watches connections and
// publishes facts until ctx is cancelled. The channel yields after requests
// that run on without their callers have ended as well.
func (p *Pool) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var loops sync.WaitGroup
	loops.Go(func() { p.pollEndpoints(ctx) })
	loops.Go(func() { p.watch(ctx) })
	go func() {
		loops.Wait()
		p.background.Wait()
		p.closeConns()
		done <- ctx.Err()
	}()
	return done
}

// SuspectsOwnNetwork reports whether this instance suspects its own link: for a second or
// more, most endpoints of a region have looked dead to it but not to peers.
func (p *Pool) SuspectsOwnNetwork() bool {
	return p.suspect.Load()
}

// RegionLoads returns what each region can take for a service now.
func (p *Pool) RegionLoads(service savorystep.Service, now time.Time) []savorystep.RegionLoad {
	return p.appendRegions(nil, service, now)
}

// appendRegions appends the loads of a service's regions to dst.
func (p *Pool) appendRegions(dst []savorystep.RegionLoad, service savorystep.Service, now time.Time) []savorystep.RegionLoad {
	for _, g := range p.groupsOf(service) {
		g.mu.Lock()
		dst = append(dst, g.load(now))
		g.mu.Unlock()
	}
	return dst
}

// groupsOf returns the groups of a service. The slice is never changed.
func (p *Pool) groupsOf(service savorystep.Service) []*group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.groups[service]
}

// groupOf returns the group of an endpoint, or nil.
func (p *Pool) groupOf(id savorystep.EndpointID) *group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byID[id]
}

// GroupName names the service and region of an endpoint, for the exchange of
// facts among the instances that use the same endpoints. It is empty for an
// unknown endpoint.
func (p *Pool) GroupName(id savorystep.EndpointID) string {
	g := p.groupOf(id)
	if g == nil {
		return ""
	}
	return string(g.service) + "/" + string(g.region)
}

// allGroups returns the groups of all services.
func (p *Pool) allGroups() []*group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var all []*group
	for _, groups := range p.groups {
		all = append(all, groups...)
	}
	return all
}

// closeLinks closes all idle connections.
func (p *Pool) closeConns() {
	for _, g := range p.allGroups() {
		g.mu.Lock()
		links := make([]*connSet, 0, len(g.endpoints))
		for _, e := range g.endpoints {
			links = append(links, e.conns)
		}
		g.mu.Unlock()
		for _, l := range links {
			l.retire()
		}
	}
}

// record keeps an event if there is a recorder.
func (p *Pool) record(event savorystep.Event) {
	if p.config.Recorder != nil {
		p.config.Recorder.Record(event)
	}
}
