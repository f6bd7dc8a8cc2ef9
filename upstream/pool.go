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

// A Pool forwards requests to the upstream endpoints that this instance may
// use. It tracks their health and keeps the connections to them.
type Pool struct {
	config Config
	limits Limits
	clock  savorystep.Clock
	base   *timebase
	// background tracks attempts that continue after their caller has gone, and
	// short tasks started by tick.
	background     taskGroup
	networkSuspect atomic.Bool
	// refusedSinceEvent counts rejected requests since the last event about
	// them, which was recorded at refusalEventAt.
	refusedSinceEvent atomic.Int64
	refusalEventAt    atomic.Int64

	// lastTickAt is the time of the last tick, resumedAt that of the last one
	// after a standstill of the process, in nanoseconds of base. Only tick uses
	// them.
	lastTickAt time.Time
	resumedAt  int64

	mu     sync.RWMutex
	groups map[savorystep.Service][]*group
	byID   map[savorystep.EndpointID]*group
	// peerReceivedAt holds when the last fact of each other instance was
	// received.
	peerReceivedAt map[savorystep.InstanceID]time.Time
	// lastPeerFactAt is when the last fact of any other instance was received.
	lastPeerFactAt time.Time
}

// New returns a pool without endpoints. Start begins to read the platform's
// endpoint list.
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

// Start reads the platform's endpoint list and load pages, checks connections
// and publishes facts until ctx is cancelled. The channel yields once requests
// that continue without their callers have ended as well.
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

// SuspectsOwnNetwork reports whether this instance suspects its own network:
// for a second or longer, most endpoints of a region have looked dead to it but
// not to its peers.
func (p *Pool) SuspectsOwnNetwork() bool {
	return p.networkSuspect.Load()
}

// Panics returns the number of requests and of tasks in the background that panicked.
func (p *Pool) Panics() int64 {
	return p.background.panics.count.Load()
}

// RegionLoads returns the load of each region of a service at the given time.
func (p *Pool) RegionLoads(service savorystep.Service, now time.Time) []savorystep.RegionLoad {
	return p.appendRegionLoads(nil, service, now)
}

// appendRegionLoads appends the loads of a service's regions to dst.
func (p *Pool) appendRegionLoads(dst []savorystep.RegionLoad, service savorystep.Service, now time.Time) []savorystep.RegionLoad {
	for _, g := range p.groupsOf(service) {
		g.mu.Lock()
		dst = append(dst, g.load(now))
		g.mu.Unlock()
	}
	return dst
}

// groupsOf returns the groups of a service. The returned slice is never
// modified.
func (p *Pool) groupsOf(service savorystep.Service) []*group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.groups[service]
}

// groupOf returns the group of an endpoint, or nil if the endpoint is unknown.
func (p *Pool) groupOf(id savorystep.EndpointID) *group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byID[id]
}

// GroupName returns the service and region of an endpoint as "service/region".
// Instances that use endpoints of the same group exchange facts about them. The
// result is empty for an unknown endpoint.
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

// closeConns closes the idle connections of all endpoints.
func (p *Pool) closeConns() {
	for _, g := range p.allGroups() {
		g.mu.Lock()
		sets := make([]*connSet, 0, len(g.endpoints))
		for _, e := range g.endpoints {
			sets = append(sets, e.conns)
		}
		g.mu.Unlock()
		for _, conns := range sets {
			conns.retire()
		}
	}
}

// record records an event if a recorder is configured.
func (p *Pool) record(event savorystep.Event) {
	if p.config.Recorder != nil {
		p.config.Recorder.Record(event)
	}
}
