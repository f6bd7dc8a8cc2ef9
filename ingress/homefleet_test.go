package ingress_test

import (
	"context"
	"errors"
	"maps"
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

// regionLatency is the time of a request or response between instances of two regions.
const regionLatency = 35 * time.Millisecond

// A homeInstance is a gateway without listeners.
type homeInstance struct {
	savorystep.Instance
	proxy   *ingress.Proxy
	relay   *peer.CatalogRelay
	watcher *ingress.Watcher
	done    <-chan error
}

// A homeFleetConfig configures a homeFleet.
type homeFleetConfig struct {
	// regions are the regions with instances.
	regions []savorystep.Region
	// perRegion is the number of instances in each of them.
	perRegion int
	// startInterval is the time between the starts of two instances.
	startInterval time.Duration
	// hasOlder is true if every second instance is of a build that does not know
	// queries for relayed pictures.
	hasOlder bool
}

// A homeFleet is a fleet of instances, without a network, for tests in virtual time.
// Its endpoints are in several regions.
type homeFleet struct {
	homeFleetConfig

	store     *homeStore
	instances []*homeInstance

	mu sync.Mutex
	// calls counts the requests from other instances to each instance, relayedCalls
	// those of them for a relayed picture.
	calls, relayedCalls map[savorystep.InstanceID]int
}

// newHomeFleet starts a fleet, which runs until ctx ends. The instances start one
// after the other, so that their reads of the catalog end at different times.
func newHomeFleet(ctx context.Context, config homeFleetConfig) *homeFleet {
	store := &homeStore{
		regions: []savorystep.Region{"north", "south"}, confirmedAt: make(map[savorystep.Revision]time.Time),
		access: make(map[savorystep.InstanceID]storeAccess), calls: make(map[savorystep.InstanceID]int), changed: make(chan struct{}),
	}
	regionByZone := make(map[savorystep.Zone]savorystep.Region)
	for _, region := range store.regions {
		zone := savorystep.Zone(region + "-a")
		regionByZone[zone] = region
		store.endpoints = append(store.endpoints, savorystep.Endpoint{
			ID: savorystep.EndpointID(region), Service: "s", State: savorystep.StateLive, Address: "a", Slots: 1000, WrittenVersion: 1, Place: savorystep.Place{Zone: zone},
		})
	}
	f := &homeFleet{homeFleetConfig: config, store: store, calls: make(map[savorystep.InstanceID]int), relayedCalls: make(map[savorystep.InstanceID]int)}
	var members []savorystep.Member
	for i := range config.perRegion * len(config.regions) {
		region := config.regions[i%len(config.regions)]
		instance := savorystep.Instance{ID: savorystep.InstanceID("instance-" + strconv.Itoa(i)), Place: savorystep.Place{Region: region, Zone: savorystep.Zone(region + "-a")}, PeerAddress: savorystep.Address("peer-" + strconv.Itoa(i))}
		store.access[instance.ID] = accessServed
		members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Instance: instance, Ready: true}})
		f.instances = append(f.instances, &homeInstance{Instance: instance})
	}
	store.changeConfiguration(time.Now())
	clock := savorystep.SystemClock{}
	for i, instance := range f.instances {
		router := ingress.NewRouter(endpoint.Config{Self: instance.ID})
		instance.proxy = ingress.NewProxy(ingress.ProxyConfig{
			Clock: clock, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Place: instance.Place, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: homeTransport{}, Router: router,
		})
		instance.relay = peer.NewCatalogRelay(peer.CatalogRelayConfig{
			Catalog: &homeStoreClient{homeStore: store, id: instance.ID}, Client: &http.Client{Transport: &homePeerTransport{homeFleet: f, region: instance.Place.Region}}, Clock: clock,
			Members: &fleetMembers{self: members[i].Instance, members: members},
		})
		instance.watcher = ingress.NewWatcher(ingress.WatcherConfig{Catalog: instance.relay, Clock: clock, Router: router, RegionByZone: regionByZone})
	}
	for _, instance := range f.instances {
		instance.done = instance.watcher.Start(ctx)
		time.Sleep(config.startInterval)
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

// A homePeerTransport delivers requests from the instances of a region to others.
type homePeerTransport struct {
	*homeFleet

	region savorystep.Region
}

func (f *homePeerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	i := slices.IndexFunc(f.instances, func(instance *homeInstance) bool { return string(instance.PeerAddress) == request.URL.Host })
	if i < 0 {
		return nil, errors.New("no instance has address " + request.URL.Host)
	}
	if f.isGone(f.instances[i].ID) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	var latency time.Duration
	if f.instances[i].Place.Region != f.region {
		latency = regionLatency
	}
	f.mu.Lock()
	f.calls[f.instances[i].ID]++
	if request.URL.Query().Has("relayed") {
		f.relayedCalls[f.instances[i].ID]++
	}
	f.mu.Unlock()
	savorystep.Sleep(request.Context(), latency)
	if f.hasOlder && i%2 == 0 {
		request = request.Clone(request.Context())
		query := request.URL.Query()
		query.Del("relayed")
		request.URL.RawQuery = query.Encode()
	}
	recorder := httptest.NewRecorder()
	f.instances[i].relay.Handler().ServeHTTP(recorder, request)
	if f.isGone(f.instances[i].ID) {
		<-request.Context().Done()
	}
	if latency > 0 {
		savorystep.Sleep(request.Context(), latency)
	}
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// callCounts are numbers of calls since the start of a fleet.
type callCounts struct {
	calls, relayedCalls, storeCallsBy map[savorystep.InstanceID]int
	// storeCalls is the number of calls to the store.
	storeCalls int
}

// countCalls returns the numbers of calls so far.
func (f *homeFleet) countCalls() callCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	counts := callCounts{calls: maps.Clone(f.calls), relayedCalls: maps.Clone(f.relayedCalls), storeCallsBy: maps.Clone(f.store.calls)}
	for _, count := range counts.storeCallsBy {
		counts.storeCalls += count
	}
	return counts
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
