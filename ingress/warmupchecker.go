package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
)

const (
	// warmupCheckTimeout is how long a health check may take: a connection and an exchange
	// between two regions, 70 ms each, and the time for which a check waits at an endpoint
	// that has just started and is idle.
	warmupCheckTimeout = 500 * time.Millisecond
	// warmupCheckWorkers is the number of health checks at the same time.
	warmupCheckWorkers = 8
	// maxPendingWarmupChecks bounds the health checks that wait. The largest deployment in
	// use has 777 endpoints.
	maxPendingWarmupChecks = 1024
)

// WarmupCheckerConfig configures a WarmupChecker.
type WarmupCheckerConfig struct {
	Clock       savorystep.Clock
	Endings     *Endings
	HeaderNames savorystep.HeaderNames
	Router      *Router
	Transport   Transport
}

// A WarmupChecker asks endpoints that closed a connection under a request, or were silent,
// for how long they are cold. An endpoint may have started again before its address was
// found to refuse connections, and the endpoint list may still have the earlier
// incarnation. Its warm-up tells that from a response that broke off and from a faulty
// link.
type WarmupChecker struct {
	config WarmupCheckerConfig
	queue  chan savorystep.Endpoint

	mu sync.Mutex
	// pending holds the endpoints that wait for a check or are checked.
	pending map[savorystep.EndpointID]bool
}

var _ savorystep.Runner = &WarmupChecker{}

// NewWarmupChecker returns a checker that is not started.
func NewWarmupChecker(config WarmupCheckerConfig) *WarmupChecker {
	return &WarmupChecker{config: config, queue: make(chan savorystep.Endpoint, maxPendingWarmupChecks), pending: make(map[savorystep.EndpointID]bool)}
}

// Start implements savorystep.Runner. The channel receives nil after ctx ends.
func (c *WarmupChecker) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var workers sync.WaitGroup
	for range warmupCheckWorkers {
		workers.Go(func() { c.run(ctx) })
	}
	go func() {
		workers.Wait()
		done <- nil
	}()
	return done
}

// run checks one endpoint after the other until ctx ends.
func (c *WarmupChecker) run(ctx context.Context) {
	for {
		select {
		case e := <-c.queue:
			c.check(ctx, e)
			c.setPending(e.ID, false)
		case <-ctx.Done():
			return
		}
	}
}

// add lets an endpoint be checked, unless it is about to be or is known to have ended.
func (c *WarmupChecker) add(now time.Time, e savorystep.Endpoint) {
	var isDue bool
	c.config.Router.WithTable(func(t *endpoint.Table) { isDue = t.NeedsWarmupCheck(now, e) })
	if !isDue || !c.setPending(e.ID, true) {
		return
	}
	select {
	case c.queue <- e:
	default:
		c.setPending(e.ID, false)
		log.Warningf("endpoint %s is not checked for its warm-up: %d checks are waiting", e.ID, maxPendingWarmupChecks)
	}
}

// setPending sets whether a check of an endpoint is pending, and reports whether that
// changed.
func (c *WarmupChecker) setPending(id savorystep.EndpointID, isPending bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[id] == isPending {
		return false
	}
	if isPending {
		c.pending[id] = true
	} else {
		delete(c.pending, id)
	}
	return true
}

// check sends a health check to an endpoint and records for how long it is cold.
func (c *WarmupChecker) check(ctx context.Context, e savorystep.Endpoint) {
	spec, ok := c.config.Router.spec(e.Service)
	if !ok || spec.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, warmupCheckTimeout)
	defer cancel()
	response, err := c.config.Transport.Exchange(ctx, e, &http1.Request{Method: http.MethodGet, Target: spec.HealthPath, Host: string(e.Address)})
	if err != nil {
		log.Debugf("health check of endpoint %s at %s: %v", e.ID, e.Address, err)
		return
	}
	defer response.Release()
	if got := response.Header.Get(c.config.HeaderNames.EndpointID); got != string(e.ID) {
		log.Debugf("health check of endpoint %s at %s: response of endpoint %q", e.ID, e.Address, got)
		return
	}
	remaining, ok := endpoint.ParseColdRemaining(response.Header.Get(c.config.HeaderNames.ColdRemaining))
	if ok {
		c.config.Endings.recordCold(c.config.Clock.Now(), e, remaining)
	}
}
