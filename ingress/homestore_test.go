package ingress_test

import (
	"context"
	"sync"
	"time"

	"savorystep"
)

const (
	// storeLatency is the time of a call to the model's store.
	storeLatency = 4 * time.Millisecond
	// storeTimeout is after how long a call that gets no response fails, in addition
	// to the time that the store may hold it back.
	storeTimeout = 900 * time.Millisecond
)

// errTurnedAway is the error of a call that the model's store rejects.
var errTurnedAway = savorystep.NewError(savorystep.KindPlatformDown, "turned away")

// A storeAccess is how the model's store treats the calls of an instance.
type storeAccess string

const (
	accessServed   storeAccess = "served"
	accessRejected storeAccess = "rejected"
	// accessSilent means that calls get no response.
	accessSilent storeAccess = "silent"
	// accessGone means that the instance has lost power: neither the store nor other
	// instances hear of it.
	accessGone storeAccess = "gone"
)

// A homeStore is the store of a homeFleet. Its configuration has one route, whose
// home moves to the next region with each revision.
type homeStore struct {
	regions   []savorystep.Region
	endpoints []savorystep.Endpoint

	mu          sync.Mutex
	revision    savorystep.Revision
	confirmedAt map[savorystep.Revision]time.Time
	access      map[savorystep.InstanceID]storeAccess
	// responseLatency is the time of a response on its way.
	responseLatency time.Duration
	// calls is the number of calls of each instance.
	calls map[savorystep.InstanceID]int
	// changed is closed and replaced at each change of revision or access.
	changed chan struct{}
}

// homeOf returns the region to which a revision binds the route.
func (s *homeStore) homeOf(revision savorystep.Revision) savorystep.Region {
	return s.regions[int(revision)%len(s.regions)] //nolint:gosec // The model has few revisions.
}

func (s *homeStore) routing(revision savorystep.Revision) *savorystep.Routing {
	route := &savorystep.Route{
		Name: "bound", Host: "h", Prefix: "/", Class: savorystep.RequestClassIdempotent, MaxAttempts: 2, Timeout: time.Second,
		Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}, Regions: []savorystep.Region{s.homeOf(revision)},
	}
	return savorystep.NewRouting(revision, []*savorystep.Route{route}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{})
}

// update changes the store's state and wakes the calls that wait for a change.
func (s *homeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// changeConfiguration confirms the next revision.
func (s *homeStore) changeConfiguration(now time.Time) {
	s.update(func() {
		s.revision++
		s.confirmedAt[s.revision] = now
	})
}

// isAllowed reports whether a request that is sent at a time may run in a region:
// the home of the newest revision, or of one that was replaced less than the given
// time ago.
func (s *homeStore) isAllowed(now time.Time, region savorystep.Region, limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for revision := s.revision; revision > 0; revision-- {
		if s.homeOf(revision) == region {
			return true
		}
		if now.Sub(s.confirmedAt[revision]) > limit {
			return false
		}
	}
	return false
}

// A homeStoreClient is the store as one instance reaches it.
type homeStoreClient struct {
	*homeStore
	id savorystep.InstanceID
}

var _ savorystep.Catalog = &homeStoreClient{}

func (c *homeStoreClient) EndpointChanges(ctx context.Context, after savorystep.CatalogVersion, _ time.Duration) (savorystep.EndpointChanges, error) {
	var changes savorystep.EndpointChanges
	err := c.await(ctx, 0, func() bool {
		changes = savorystep.EndpointChanges{Version: savorystep.CatalogVersion(c.revision), Full: after == 0}
		if changes.Full {
			changes.Endpoints = c.endpoints
		}
		return true
	})
	return changes, err
}

func (c *homeStoreClient) OperatorChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.OperatorChanges, error) {
	var changes savorystep.OperatorChanges
	err := c.await(ctx, wait, func() bool {
		changes = savorystep.OperatorChanges{Version: savorystep.CatalogVersion(c.revision), Full: after == 0}
		if changes.Version > after {
			changes.Routing = c.routing(c.revision)
		}
		return changes.Routing != nil
	})
	changes.IsUnchanged = err == nil && after != 0 && changes.Routing == nil
	return changes, err
}

// await calls read with the store locked until it returns true or wait has passed.
func (c *homeStoreClient) await(ctx context.Context, wait time.Duration, read func() bool) error {
	c.mu.Lock()
	c.calls[c.id]++
	c.mu.Unlock()
	defer savorystep.Sleep(ctx, c.responseLatency)
	savorystep.Sleep(ctx, storeLatency)
	timeout := time.After(wait + storeTimeout - storeLatency)
	var timer <-chan time.Time
	hasWaited := wait <= storeLatency
	if !hasWaited {
		timer = time.After(wait - storeLatency)
	}
	for {
		c.mu.Lock()
		access, changed := c.access[c.id], c.changed
		isRead := access == accessServed && read()
		c.mu.Unlock()
		switch {
		case access == accessRejected:
			return errTurnedAway
		case isRead, access == accessServed && hasWaited:
			return nil
		case access == accessSilent, access == accessGone:
			timer = nil
		}
		select {
		case <-changed:
		case <-timer:
			return nil
		case <-timeout:
			return errTurnedAway
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
