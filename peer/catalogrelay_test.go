package peer_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
	"savorystep/peer"
)

// A fakeCatalog is a catalog that returns fixed changes and counts its reads.
type fakeCatalog struct {
	mu        sync.Mutex
	endpoints savorystep.EndpointChanges
	operator  savorystep.OperatorChanges
	reads     int
	err       error
}

func (f *fakeCatalog) EndpointChanges(_ context.Context, after savorystep.CatalogVersion, _ time.Duration) (savorystep.EndpointChanges, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	changes := f.endpoints
	changes.Full = after == 0
	return changes, f.err
}

func (f *fakeCatalog) OperatorChanges(_ context.Context, after savorystep.CatalogVersion, _ time.Duration) (savorystep.OperatorChanges, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	changes := f.operator
	changes.Full = after == 0
	return changes, f.err
}

func (f *fakeCatalog) update(change func(*fakeCatalog)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fakeMembers is a fixed membership.
type fakeMembers struct {
	self    savorystep.Instance
	members []savorystep.Member
}

func (f *fakeMembers) Self() savorystep.Instance             { return f.self }
func (f *fakeMembers) Members(time.Time) []savorystep.Member { return f.members }

// An offsetClock is the system clock with an adjustable offset in nanoseconds.
type offsetClock struct {
	offset atomic.Int64
}

func (c *offsetClock) Now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()))
}

// A relayPair is the reader and a follower of one region.
type relayPair struct {
	catalog          *fakeCatalog
	clock            *offsetClock
	reader, follower *peer.CatalogRelay
	// serveReader replaces the handler at the reader's address.
	serveReader func(http.Handler)
}

// newRelayPair returns a pair of relays. Which of them is the reader follows
// from the hashes of their IDs.
func newRelayPair(t *testing.T) *relayPair {
	t.Helper()
	r := &relayPair{catalog: &fakeCatalog{}, clock: &offsetClock{}}
	r.catalog.endpoints = savorystep.EndpointChanges{Version: 5, Endpoints: []savorystep.Endpoint{{ID: "a", WrittenVersion: 3}, {ID: "b", WrittenVersion: 5}}}
	r.catalog.operator = savorystep.OperatorChanges{
		Version: 4, EvacuatedZones: []savorystep.Zone{"z"},
		Routing: savorystep.NewRouting(7, []*savorystep.Route{{Name: "r", Host: "h", Prefix: "/", Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}}},
			map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s", Warmup: time.Second}}, savorystep.ClientLimits{BodyBytes: 9}),
	}
	var handlers [2]http.Handler
	relays := make([]*peer.CatalogRelay, 2)
	instances := make([]savorystep.Instance, 2)
	for i := range relays {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { handlers[i].ServeHTTP(w, request) }))
		t.Cleanup(server.Close)
		instances[i] = savorystep.Instance{ID: savorystep.InstanceID(fmt.Sprint("instance-", i)), Place: savorystep.Place{Region: "r"}, PeerAddress: savorystep.Address(server.Listener.Addr().String())}
	}
	var members []savorystep.Member
	for _, instance := range instances {
		members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Instance: instance, Ready: true}})
	}
	for i := range relays {
		relays[i] = peer.NewCatalogRelay(peer.CatalogRelayConfig{
			Catalog: r.catalog, Clock: r.clock, FirstStart: true, Secret: "a shared secret",
			Members: &fakeMembers{self: instances[i], members: members},
		})
		handlers[i] = relays[i].Handler()
	}
	for i, relay := range relays {
		if peer.ReaderOf(relay) == "" {
			r.reader, r.follower = relay, relays[1-i]
			r.serveReader = func(handler http.Handler) { handlers[i] = handler }
		}
	}
	if r.reader == nil || peer.ReaderOf(r.follower) == "" {
		t.Fatal("want exactly one reader")
	}
	return r
}

// replaceReader replaces the reader by one whose configuration change changes.
func (r *relayPair) replaceReader(change func(*peer.CatalogRelayConfig)) {
	config := peer.RestartConfig(r.reader)
	change(&config)
	r.reader = peer.NewCatalogRelay(config)
	r.serveReader(r.reader.Handler())
}

// readAll reads the whole catalog with both relays and resets the count of
// reads.
func (r *relayPair) readAll(t *testing.T) {
	t.Helper()
	for _, relay := range []*peer.CatalogRelay{r.reader, r.follower} {
		if _, err := relay.EndpointChanges(t.Context(), 0, 0); err != nil {
			t.Fatal(err)
		}
		if _, err := relay.OperatorChanges(t.Context(), 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	r.catalog.update(func(f *fakeCatalog) { f.reads = 0 })
}

// TestRelayForwardsChanges guards against a follower that reads the store
// although its reader responds, and against changes that get lost on the way.
func TestRelayForwardsChanges(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 8, Endpoints: []savorystep.Endpoint{{ID: "c", WrittenVersion: 8}}, Removed: []savorystep.EndpointID{"a"}}
		f.operator = savorystep.OperatorChanges{Version: 9, RestoredZones: []savorystep.Zone{"z"}, Routing: savorystep.NewRouting(8, r.catalog.operator.Routing.Routes, nil, savorystep.ClientLimits{BodyBytes: 10})}
	})
	if _, err := r.reader.EndpointChanges(t.Context(), 5, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := r.reader.OperatorChanges(t.Context(), 4, 0); err != nil {
		t.Fatal(err)
	}
	r.catalog.update(func(f *fakeCatalog) { f.reads = 0 })
	list, err := r.follower.EndpointChanges(t.Context(), 5, 0)
	if err != nil || list.Full || list.Version != 8 || len(list.Endpoints) != 1 || list.Endpoints[0].ID != "c" || len(list.Removed) != 1 || list.Removed[0] != "a" {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
	operator, err := r.follower.OperatorChanges(t.Context(), 4, 0)
	if err != nil || operator.Routing == nil || operator.Routing.Revision != 8 || operator.Routing.Limits.BodyBytes != 10 || len(operator.RestoredZones) != 1 {
		t.Errorf("operator changes: %+v, %v", operator, err)
	}
	if operator.Routing.Match("h", "/x") == nil {
		t.Error("forwarded routing has no route for the request")
	}
	if r.catalog.reads != 0 {
		t.Errorf("follower read the store %d times, want 0", r.catalog.reads)
	}
}

// TestRelayForwardsRemovalOfListedEntry guards against a removal that a
// follower does not get because the entry was written again, by a late report
// of an endpoint that has left.
func TestRelayForwardsRemovalOfListedEntry(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 8, Endpoints: []savorystep.Endpoint{{ID: "a", WrittenVersion: 8}}, Removed: []savorystep.EndpointID{"a"}}
	})
	if _, err := r.reader.EndpointChanges(t.Context(), 5, 0); err != nil {
		t.Fatal(err)
	}
	list, err := r.follower.EndpointChanges(t.Context(), 5, 0)
	if err != nil || len(list.Endpoints) != 1 || len(list.Removed) != 1 || list.Removed[0] != "a" {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
}

// TestRelayFallsBackToStore guards against a follower that waits for a reader
// that has not read the store, or uses its response: the follower must read the
// store itself.
func TestRelayFallsBackToStore(t *testing.T) {
	r := newRelayPair(t)
	if _, err := r.follower.EndpointChanges(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	r.catalog.update(func(f *fakeCatalog) { f.reads = 0 })
	// The reader has not read the store yet.
	if _, err := r.follower.EndpointChanges(t.Context(), 5, 0); err != nil || r.catalog.reads != 1 {
		t.Errorf("%d reads of the store, want 1: %v", r.catalog.reads, err)
	}
	if _, err := r.follower.OperatorChanges(t.Context(), 4, 0); err != nil || r.catalog.reads != 2 {
		t.Errorf("%d reads of the store, want 2: %v", r.catalog.reads, err)
	}
}

// TestRelayNotifiesWaitingFollower guards against a new configuration that
// reaches a follower only at the end of its long poll.
func TestRelayNotifiesWaitingFollower(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	got := make(chan savorystep.OperatorChanges, 1)
	go func() {
		changes, err := r.follower.OperatorChanges(t.Context(), 4, 30*time.Second)
		if err != nil {
			t.Error(err)
		}
		got <- changes
	}()
	r.catalog.update(func(f *fakeCatalog) {
		f.operator.Version, f.operator.Routing = 9, savorystep.NewRouting(8, nil, nil, savorystep.ClientLimits{})
	})
	if _, err := r.reader.OperatorChanges(t.Context(), 4, 0); err != nil {
		t.Fatal(err)
	}
	if changes := <-got; changes.Routing == nil || changes.Routing.Revision != 8 {
		t.Errorf("operator changes: %+v, want revision 8", changes)
	}
}

// TestRelayAheadOfReader guards against a follower that returns to an older
// version: it has read the store itself and has a newer version than its
// reader.
func TestRelayAheadOfReader(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	list, err := r.follower.EndpointChanges(t.Context(), 7, 0)
	if err != nil || list.Version != 7 || list.Full || len(list.Endpoints)+len(list.Removed) != 0 {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
}

// TestRelayStartsWithoutStore guards against an instance that starts while the
// store is down and rejects all requests until it is back, although its peers
// have the catalog.
func TestRelayStartsWithoutStore(t *testing.T) {
	r := newRelayPair(t)
	if _, err := r.reader.EndpointChanges(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := r.reader.OperatorChanges(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	r.catalog.update(func(f *fakeCatalog) { f.err = savorystep.NewError(savorystep.KindPlatformDown, "store is down") })
	list, err := r.follower.EndpointChanges(t.Context(), 0, 0)
	if err != nil || !list.Full || len(list.Endpoints) != 2 || list.Version != 5 {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
	operator, err := r.follower.OperatorChanges(t.Context(), 0, 0)
	if err != nil || operator.Routing == nil || operator.Routing.Revision != 7 || len(operator.EvacuatedZones) != 1 {
		t.Errorf("operator changes: %+v, %v", operator, err)
	}
}

// TestRelayQueriesSecondReader guards against a region in which all instances
// read the store because it rejects the reads of the first reader, and against
// a first reader that gets no operators' configuration in this case.
func TestRelayQueriesSecondReader(t *testing.T) {
	const instances = 3
	full := savorystep.EndpointChanges{Version: 5, Endpoints: []savorystep.Endpoint{{ID: "a", WrittenVersion: 5}}}
	catalogs := make(map[savorystep.InstanceID]*fakeCatalog)
	var members []savorystep.Member
	handlers := make([]http.Handler, instances)
	for i := range instances {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { handlers[i].ServeHTTP(w, request) }))
		t.Cleanup(server.Close)
		instance := savorystep.Instance{ID: savorystep.InstanceID(fmt.Sprint("instance-", i)), Place: savorystep.Place{Region: "r"}, PeerAddress: savorystep.Address(server.Listener.Addr().String())}
		members = append(members, savorystep.Member{StatusFact: savorystep.StatusFact{Instance: instance, Ready: true}})
	}
	relays := make([]*peer.CatalogRelay, instances)
	for i, m := range members {
		catalogs[m.Instance.ID] = &fakeCatalog{endpoints: full}
		relays[i] = peer.NewCatalogRelay(peer.CatalogRelayConfig{
			Catalog: catalogs[m.Instance.ID], Clock: savorystep.SystemClock{}, Secret: "a shared secret",
			Members: &fakeMembers{self: m.Instance, members: members},
		})
		handlers[i] = relays[i].Handler()
	}
	slices.SortFunc(relays, func(a, b *peer.CatalogRelay) int { return peer.ReaderCount(a) - peer.ReaderCount(b) })
	slices.SortFunc(members, func(a, b savorystep.Member) int {
		return cmp.Compare(xxh3.HashString(string(a.Instance.ID)), xxh3.HashString(string(b.Instance.ID)))
	})
	first, second, third := catalogs[members[0].Instance.ID], catalogs[members[1].Instance.ID], catalogs[members[2].Instance.ID]
	first.update(func(f *fakeCatalog) { f.err = savorystep.NewError(savorystep.KindPlatformDown, "rejected") })
	for i, relay := range relays[1:] {
		if _, err := relay.EndpointChanges(t.Context(), 0, 0); err != nil {
			t.Fatalf("relay %d: %v", i+1, err)
		}
	}
	second.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 8, Removed: []savorystep.EndpointID{"a"}}
	})
	third.update(func(f *fakeCatalog) { f.reads = 0 })
	if _, err := relays[1].EndpointChanges(t.Context(), 5, 0); err != nil {
		t.Fatal(err)
	}
	list, err := relays[2].EndpointChanges(t.Context(), 5, 0)
	if err != nil || list.Version != 8 || len(list.Removed) != 1 {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
	if third.reads != 0 {
		t.Errorf("third instance read the store %d times, want 0", third.reads)
	}
	// Incident inc-b613: for 9.6 s the store rejected the reads of a first
	// reader. The reader did not get the evacuation of a zone and continued to
	// send requests there.
	second.update(func(f *fakeCatalog) {
		f.operator = savorystep.OperatorChanges{Version: 9, EvacuatedZones: []savorystep.Zone{"z"}}
	})
	if _, err := relays[1].OperatorChanges(t.Context(), 4, 0); err != nil {
		t.Fatal(err)
	}
	operator, err := relays[0].OperatorChanges(t.Context(), 4, 0)
	if err != nil || len(operator.EvacuatedZones) != 1 {
		t.Errorf("operator changes of the first reader: %+v, %v", operator, err)
	}
}

// TestRelaySendsReports guards against whole entries for each report, which
// exceed the byte budget for control traffic with a few hundred endpoints, and
// against entries with missing or outdated parts at the follower.
func TestRelaySendsReports(t *testing.T) {
	r := newRelayPair(t)
	before := savorystep.Endpoint{ID: "a", Service: "s", Address: "10.0.0.1:1", StartedAtMillis: 7, Slots: 3, ReportSequence: 1, WrittenVersion: 3, ColdRemaining: time.Second}
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 5, Endpoints: []savorystep.Endpoint{before, {ID: "b", Service: "s", WrittenVersion: 5}}}
	})
	r.readAll(t)
	reported, changed := before, savorystep.Endpoint{ID: "b", Service: "other", WrittenVersion: 9}
	reported.ReportSequence, reported.WrittenVersion, reported.ColdRemaining = 2, 8, 0
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 9, Endpoints: []savorystep.Endpoint{reported, changed}}
	})
	if _, err := r.reader.EndpointChanges(t.Context(), 5, 0); err != nil {
		t.Fatal(err)
	}
	if whole, reports := peer.ResponseSizes(r.reader, 5); whole != 1 || reports != 1 {
		t.Errorf("%d whole entries and %d reports sent, want 1 and 1", whole, reports)
	}
	list, err := r.follower.EndpointChanges(t.Context(), 5, 0)
	if err != nil || !slices.Contains(list.Endpoints, reported) || !slices.Contains(list.Endpoints, changed) || len(list.Endpoints) != 2 {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
}

// TestRelayReportOfUnknownEntry guards against an incomplete entry: a follower
// that does not have the rest of a reported entry must read the store.
func TestRelayReportOfUnknownEntry(t *testing.T) {
	r := newRelayPair(t)
	if _, err := r.reader.EndpointChanges(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 8, Endpoints: []savorystep.Endpoint{{ID: "a", WrittenVersion: 8, ReportSequence: 2}}}
	})
	if _, err := r.reader.EndpointChanges(t.Context(), 5, 0); err != nil {
		t.Fatal(err)
	}
	r.catalog.update(func(f *fakeCatalog) { f.reads = 0 })
	// The follower has never read the list, but queries the changes after
	// version 5.
	list, err := r.follower.EndpointChanges(t.Context(), 5, 0)
	if err != nil || r.catalog.reads != 1 || len(list.Endpoints) != 1 {
		t.Errorf("endpoint changes after %d reads of the store, want 1: %+v, %v", r.catalog.reads, list, err)
	}
}

// TestRelayStartsFromPeers guards against a fleet in which each instance reads
// the whole list from the store at its start: 295 instances caused two thirds
// of all calls of a day this way in the scenario corrente-limpa-large.
func TestRelayStartsFromPeers(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	list, err := r.follower.EndpointChanges(t.Context(), 0, 0)
	if err != nil || !list.Full || len(list.Endpoints) != 2 || list.Version != 5 {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
	operator, err := r.follower.OperatorChanges(t.Context(), 0, 0)
	if err != nil || !operator.Full || operator.Routing == nil || operator.Routing.Revision != 7 || len(operator.EvacuatedZones) != 1 {
		t.Errorf("operator changes: %+v, %v", operator, err)
	}
	if r.catalog.reads != 0 {
		t.Errorf("follower read the store %d times, want 0", r.catalog.reads)
	}
}

// TestRelayStartRejectsStaleCatalog guards against an instance that starts and
// uses an endpoint that has left: a peer that has not read the store recently
// still lists it.
func TestRelayStartRejectsStaleCatalog(t *testing.T) {
	r := newRelayPair(t)
	if _, err := r.reader.EndpointChanges(t.Context(), 0, 0); err != nil {
		t.Fatal(err)
	}
	if serves, _ := peer.ServesFullCatalog(r.reader); !serves {
		t.Error("peer that has just read the store does not serve its endpoint list")
	}
	r.clock.offset.Store(int64(10 * time.Second))
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 8, Endpoints: []savorystep.Endpoint{{ID: "b", WrittenVersion: 5}}}
	})
	if serves, _ := peer.ServesFullCatalog(r.reader); serves {
		t.Error("a peer serves a list that is 10 s old to an instance that starts")
	}
	list, err := r.follower.EndpointChanges(t.Context(), 0, 0)
	if err != nil || len(list.Endpoints) != 1 || list.Endpoints[0].ID != "b" {
		t.Errorf("endpoint changes: %+v, %v", list, err)
	}
	if serves, _ := peer.ServesFullCatalog(r.follower); !serves {
		t.Error("peer that has read the store itself does not serve its endpoint list")
	}
}

// TestRelayRestartReadsStore guards against an instance that queries its peers
// for the catalog while callers are waiting. After a restart of all instances,
// the peers became known later than the store would have responded.
func TestRelayRestartReadsStore(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	restarted := peer.NewCatalogRelay(peer.RestartConfig(r.follower))
	if list, err := restarted.EndpointChanges(t.Context(), 0, 0); err != nil || len(list.Endpoints) != 2 || r.catalog.reads != 1 {
		t.Errorf("endpoint changes after %d reads of the store, want 1: %+v, %v", r.catalog.reads, list, err)
	}
}

// TestRelayForwardsLowerRevisionOfRestoredStore guards against a reader that hands out
// the configuration of the era before as one of the restored store, which has none at
// first, and never a lower revision that operators write then.
func TestRelayForwardsLowerRevisionOfRestoredStore(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	routes := r.catalog.operator.Routing.Routes
	for _, step := range []struct {
		version uint64
		routing *savorystep.Routing
		want    savorystep.Revision
	}{
		{version: 3},
		{version: 4, routing: savorystep.NewRouting(3, routes, nil, savorystep.ClientLimits{}), want: 3},
	} {
		r.catalog.update(func(f *fakeCatalog) {
			f.operator = savorystep.OperatorChanges{Version: savorystep.NewCatalogVersion(2, step.version), Routing: step.routing}
		})
		if _, err := r.reader.OperatorChanges(t.Context(), 4, 0); err != nil {
			t.Fatal(err)
		}
		changes, err := r.follower.OperatorChanges(t.Context(), 4, 0)
		if err != nil || changes.Version.InEra() != step.version {
			t.Fatalf("changes %+v, %v, want version %d", changes, err, step.version)
		}
		var revision savorystep.Revision
		if changes.Routing != nil {
			revision = changes.Routing.Revision
		}
		if revision != step.want {
			t.Errorf("version %v has revision %d, want %d", changes.Version, revision, step.want)
		}
	}
}
