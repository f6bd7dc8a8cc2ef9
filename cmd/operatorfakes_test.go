package cmd

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
	"savorystep/operator"
)

const testToken = "token-of-the-tests"

// fakeNow is the time of the fake clock.
var fakeNow = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// A fakeClock always returns fakeNow.
type fakeClock struct{}

func (fakeClock) Now() time.Time { return fakeNow }

// A fakeConfig is an in-memory configuration with the faults of a platform.
type fakeConfig struct {
	mu      sync.Mutex
	changes []savorystep.Change
	// rivalChanges is how many of the next calls of Apply find that another
	// operator has just changed the record.
	rivalChanges int
	// lostResponses is how many of the next changes are made although Apply returns
	// an error.
	lostResponses int
	platformDown  bool
}

func (c *fakeConfig) View() *savorystep.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view()
}

func (c *fakeConfig) view() *savorystep.View {
	view := &savorystep.View{
		Records: map[savorystep.Service]*savorystep.Record{}, RecordRevisions: map[savorystep.Service]savorystep.Revision{},
		ServicesByName: map[savorystep.Name]savorystep.Service{},
	}
	for _, change := range c.changes {
		view.Revision = change.Revision
		view.RecordRevisions[change.Service] = change.Revision
		view.Records[change.Service] = change.Record
		if change.Record == nil {
			delete(view.Records, change.Service)
			delete(view.RecordRevisions, change.Service)
		}
	}
	for service, record := range view.Records {
		view.ServicesByName[savorystep.Name(service)] = service
		for _, name := range record.Aliases {
			view.ServicesByName[name] = service
		}
	}
	return view
}

func (c *fakeConfig) Apply(_ context.Context, change savorystep.Change) (savorystep.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, old := range c.changes {
		if old.ID == change.ID {
			return old.Revision, nil
		}
	}
	if c.platformDown {
		return 0, savorystep.NewError(savorystep.KindPlatformDown, "the table does not answer")
	}
	if c.rivalChanges > 0 {
		c.rivalChanges--
		rival := *c.view().Records[change.Service]
		rival.Aliases = append(slices.Clone(rival.Aliases), savorystep.Name(strings.Repeat("z", c.rivalChanges+3)))
		c.add(savorystep.Change{ID: savorystep.ChangeID("race" + strings.Repeat("z", c.rivalChanges)), Author: "rival", Service: change.Service, BaseRevision: c.view().RecordRevisions[change.Service], Record: &rival})
	}
	if version := c.view().RecordRevisions[change.Service]; version != change.BaseRevision {
		return 0, savorystep.NewError(savorystep.KindVersionConflict, "record %s is at version %d", change.Service, version)
	}
	revision := c.add(change)
	if c.lostResponses > 0 {
		c.lostResponses--
		return 0, savorystep.NewError(savorystep.KindPlatformDown, "the answer was lost")
	}
	return revision, nil
}

func (c *fakeConfig) add(change savorystep.Change) savorystep.Revision {
	change.Revision = savorystep.Revision(len(c.changes) + 1)
	if change.Time.IsZero() {
		change.Time = fakeNow
	}
	c.changes = append(c.changes, change)
	return change.Revision
}

func (c *fakeConfig) History(_ context.Context, service savorystep.Service, limit int) ([]savorystep.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []savorystep.Change
	for _, change := range slices.Backward(c.changes) {
		if (service == "" || change.Service == service) && len(found) < limit {
			found = append(found, change)
		}
	}
	return found, nil
}

// A fakeFacts stores facts in memory.
type fakeFacts struct {
	mu    sync.Mutex
	facts []savorystep.ReceivedFact
}

func (f *fakeFacts) Facts(kind savorystep.FactKind) []savorystep.ReceivedFact {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []savorystep.ReceivedFact
	for _, fact := range f.facts {
		if fact.Kind == kind {
			found = append(found, fact)
		}
	}
	return found
}

// setUnknownCount stores the fact that an instance received an unknown name count
// times.
func (f *fakeFacts) setUnknownCount(t *testing.T, id savorystep.InstanceID, name string, count uint64) {
	t.Helper()
	body, err := cbor.Marshal(savorystep.UnknownFact{Count: count})
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.facts = append(f.facts, savorystep.ReceivedFact{ReceivedAt: fakeNow, Fact: savorystep.Fact{
		Instance: id, Kind: savorystep.FactUnknown, Subject: name, Body: body,
	}})
}

func (*fakeFacts) Publish(savorystep.FactKind, string, any) {}

func (*fakeFacts) Broadcast(context.Context, savorystep.FactKind, string, any) (acked, missing int) {
	return 0, 0
}

func (*fakeFacts) Subscribe(savorystep.FactKind, func(savorystep.ReceivedFact)) {}

// A fakeRecorder stores the events of an instance in memory.
type fakeRecorder struct {
	mu     sync.Mutex
	self   savorystep.InstanceID
	events []savorystep.Event
}

func (r *fakeRecorder) Events() []savorystep.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

func (r *fakeRecorder) Record(event savorystep.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Instance = r.self
	if event.Timestamp.Wall == 0 {
		event.Timestamp.Wall = fakeNow.UnixNano()
		event.Timestamp.Logical = uint32(len(r.events))
	}
	r.events = append(r.events, event)
}

// fakeEndpoints reports the same region loads for all services.
type fakeEndpoints struct{}

func (fakeEndpoints) RegionLoads(savorystep.Service, time.Time) []savorystep.RegionLoad {
	return []savorystep.RegionLoad{
		{Region: "hobart", Slots: 36, UsedSlots: 20, Queued: 2, UsableEndpoints: 12, Endpoints: 12},
		{Region: "launceston", Slots: 36, UsedSlots: 30, UsableEndpoints: 12, Endpoints: 12},
		{Region: "burnie", Slots: 12, UsedSlots: 9, UsableEndpoints: 4, Endpoints: 5},
	}
}

// A fakeSystem is the operators' listeners of three instances that share a
// configuration.
type fakeSystem struct {
	config    *fakeConfig
	facts     *fakeFacts
	recorders map[savorystep.InstanceID]*fakeRecorder
	servers   map[savorystep.InstanceID]*httptest.Server
	shutdown  chan struct{}

	mu      sync.Mutex
	members []savorystep.Member
	// revisionLag is by how many revisions an instance is behind the newest one.
	revisionLag map[savorystep.InstanceID]savorystep.Revision
	// remainingListings is in how many further calls of Members an instance is
	// listed.
	remainingListings map[savorystep.InstanceID]int
	// readinessErr is the reason why the instances are not ready, nil if they are.
	readinessErr error
}

// newFakeSystem starts the operators' listeners of hobart-1, launceston-1 and
// burnie-1.
func newFakeSystem(t *testing.T) *fakeSystem {
	t.Helper()
	s := &fakeSystem{
		config: &fakeConfig{}, facts: &fakeFacts{}, shutdown: make(chan struct{}),
		recorders: map[savorystep.InstanceID]*fakeRecorder{}, servers: map[savorystep.InstanceID]*httptest.Server{},
		revisionLag: map[savorystep.InstanceID]savorystep.Revision{}, remainingListings: map[savorystep.InstanceID]int{},
	}
	for _, region := range []savorystep.Region{"burnie", "hobart", "launceston"} {
		id := savorystep.InstanceID(region + "-1")
		self := savorystep.Instance{ID: id, State: savorystep.StateLive, Place: savorystep.Place{Region: region, Zone: savorystep.Zone(region + "-a")}}
		server := httptest.NewUnstartedServer(nil)
		self.OperatorAddress = savorystep.Address(server.Listener.Addr().String())
		s.recorders[id] = &fakeRecorder{self: id}
		registry := prometheus.NewRegistry()
		server.Config.Handler = operator.NewServer(operator.ServerConfig{
			Clock: fakeClock{}, Config: s.config, Endpoints: fakeEndpoints{}, Facts: s.facts,
			Members: fakeMembers{s, self}, Recorder: s.recorders[id], Self: self, Token: testToken,
			Gatherer: registry, Registerer: registry, Shutdown: s.shutdown,
			CheckReady: func() error { return s.readinessErr }, ExplainLookup: fakeExplain,
		})
		server.Start()
		t.Cleanup(server.Close)
		s.servers[id] = server
		s.members = append(s.members, savorystep.Member{LastHeartbeat: fakeNow.Add(-120 * time.Millisecond), StatusFact: savorystep.StatusFact{Instance: self, Ready: true, RequestRate: 41.5}})
	}
	t.Cleanup(func() { close(s.shutdown) })
	return s
}

// fakeExplain returns a fixed explanation for lookups of "orders".
func fakeExplain(name, from string) (any, error) {
	if name != "orders" {
		return nil, savorystep.NewError(savorystep.KindUnknownName, "no service has the name %q", name)
	}
	return struct {
		Service string   `json:"service"`
		From    string   `json:"from"`
		Region  string   `json:"region"`
		Reason  string   `json:"reason"`
		Entries []string `json:"entries"`
		Shift   struct {
			To      string `json:"to"`
			Percent int    `json:"percent"`
		} `json:"shift"`
	}{Service: "orders", From: from, Region: "hobart", Reason: "Callers stay in their own region.", Entries: []string{"hobart-1", "hobart-2"}}, nil
}

// A fakeMembers is the membership as one instance reports it.
type fakeMembers struct {
	system *fakeSystem
	self   savorystep.Instance
}

func (m fakeMembers) Self() savorystep.Instance { return m.self }

func (m fakeMembers) Members(time.Time) []savorystep.Member {
	revision := m.system.config.View().Revision
	m.system.mu.Lock()
	defer m.system.mu.Unlock()
	var members []savorystep.Member
	for _, member := range m.system.members {
		if remaining, ok := m.system.remainingListings[member.Instance.ID]; ok {
			m.system.remainingListings[member.Instance.ID]--
			if remaining <= 0 {
				continue
			}
		}
		members = append(members, member)
	}
	for i := range members {
		members[i].Revision = revision - min(revision, m.system.revisionLag[members[i].Instance.ID])
	}
	return members
}
