package ingress_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
	"savorystep/peer"
)

const (
	// storeLatency is the time of a call to the model's store.
	storeLatency = 4 * time.Millisecond
	// storeTimeout is after how long a call that gets no response fails, in addition
	// to the time that the store may hold it back.
	storeTimeout = 900 * time.Millisecond
	// startInterval is the time between the starts of two instances.
	startInterval = 370 * time.Millisecond
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
	return changes, err
}

// await calls read with the store locked until it returns true or wait has passed.
func (c *homeStoreClient) await(ctx context.Context, wait time.Duration, read func() bool) error {
	timeout := time.After(wait + storeTimeout)
	timer := time.After(wait)
	savorystep.Sleep(ctx, storeLatency)
	for {
		c.mu.Lock()
		access, changed := c.access[c.id], c.changed
		isRead := access == accessServed && read()
		c.mu.Unlock()
		switch {
		case access == accessRejected:
			return errTurnedAway
		case isRead:
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

// A homeInstance is a gateway without listeners.
type homeInstance struct {
	savorystep.Instance
	proxy   *ingress.Proxy
	relay   *peer.CatalogRelay
	watcher *ingress.Watcher
	done    <-chan error
}

// A homeFleet is a fleet of instances in one region, without a network, for tests in
// virtual time. Its endpoints are in several regions.
type homeFleet struct {
	store     *homeStore
	instances []*homeInstance
}

// newHomeFleet starts a fleet, which runs until ctx ends. The instances start one
// after the other, so that their reads of the catalog end at different times.
func newHomeFleet(ctx context.Context, count int) *homeFleet {
	store := &homeStore{
		regions: []savorystep.Region{"north", "south"}, confirmedAt: make(map[savorystep.Revision]time.Time),
		access: make(map[savorystep.InstanceID]storeAccess), changed: make(chan struct{}),
	}
	regionByZone := make(map[savorystep.Zone]savorystep.Region)
	for _, region := range store.regions {
		zone := savorystep.Zone(region + "-a")
		regionByZone[zone] = region
		store.endpoints = append(store.endpoints, savorystep.Endpoint{
			ID: savorystep.EndpointID(region), Service: "s", State: savorystep.StateLive, Address: "a", Slots: 1000, WrittenVersion: 1, Place: savorystep.Place{Zone: zone},
		})
	}
	f := &homeFleet{store: store}
	var members []savorystep.Member
	for i := range count {
		instance := savorystep.Instance{ID: savorystep.InstanceID("instance-" + strconv.Itoa(i)), Place: savorystep.Place{Region: "north", Zone: "north-a"}, PeerAddress: savorystep.Address("peer-" + strconv.Itoa(i))}
		store.access[instance.ID] = accessServed
		members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Instance: instance, Ready: true}})
		f.instances = append(f.instances, &homeInstance{Instance: instance})
	}
	store.changeConfiguration(time.Now())
	clock := savorystep.SystemClock{}
	for i, instance := range f.instances {
		router := ingress.NewRouter(endpoint.Config{Self: instance.ID})
		instance.proxy = ingress.NewProxy(ingress.ProxyConfig{
			Clock: clock, HeaderNames: names, Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Place: instance.Place, Quarantine: ingress.NewQuarantine(&fakeFacts{}), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: homeTransport{}, Router: router,
		})
		instance.relay = peer.NewCatalogRelay(peer.CatalogRelayConfig{
			Catalog: &homeStoreClient{homeStore: store, id: instance.ID}, Client: &http.Client{Transport: f}, Clock: clock,
			Members: &fleetMembers{self: members[i].Instance, members: members},
		})
		instance.watcher = ingress.NewWatcher(ingress.WatcherConfig{Catalog: instance.relay, Clock: clock, Router: router, RegionByZone: regionByZone})
	}
	for _, instance := range f.instances {
		instance.done = instance.watcher.Start(ctx)
		time.Sleep(startInterval)
	}
	return f
}

// fleetMembers is a fixed membership.
type fleetMembers struct {
	self    savorystep.Instance
	members []savorystep.Member
}

func (m *fleetMembers) Self() savorystep.Instance             { return m.self }
func (m *fleetMembers) Members(time.Time) []savorystep.Member { return m.members }

// RoundTrip delivers a request between instances.
func (f *homeFleet) RoundTrip(request *http.Request) (*http.Response, error) {
	i := slices.IndexFunc(f.instances, func(instance *homeInstance) bool { return string(instance.PeerAddress) == request.URL.Host })
	if i < 0 {
		return nil, errors.New("no instance has address " + request.URL.Host)
	}
	if f.isGone(f.instances[i].ID) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	f.instances[i].relay.Handler().ServeHTTP(recorder, request)
	if f.isGone(f.instances[i].ID) {
		<-request.Context().Done()
	}
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// isGone reports whether an instance has lost power.
func (f *homeFleet) isGone(id savorystep.InstanceID) bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.access[id] == accessGone
}

// setAccess sets how the store treats some of the instances.
func (f *homeFleet) setAccess(access storeAccess, ids []savorystep.InstanceID) {
	f.store.update(func() {
		for _, id := range ids {
			f.store.access[id] = access
		}
	})
}

// regionOf sends a request for the route to an instance and returns the region in
// which it ran, or false if it did not run.
func (i *homeInstance) regionOf(ctx context.Context) (savorystep.Region, bool) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", http.NoBody)
	request.Host = "h"
	i.proxy.ServeHTTP(recorder, request)
	return savorystep.Region(recorder.Header().Get("Ran-In")), recorder.Code == http.StatusOK
}

// homeTransport answers each request with the region of its endpoint.
type homeTransport struct{}

func (homeTransport) Exchange(_ context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	header := http.Header{}
	header.Set("Signature", "s")
	header.Set("Ran-In", string(e.Place.Region))
	return &http1.Response{Status: http.StatusOK, Header: header}, nil
}
