package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

const (
	testService = savorystep.Service("status")
	testTimeout = 20 * time.Second
)

// A fakeRegistry lists the endpoints that a test sets.
type fakeRegistry struct {
	mu        sync.Mutex
	endpoints []savorystep.Endpoint
}

func (r *fakeRegistry) Endpoints(context.Context) ([]savorystep.Endpoint, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]savorystep.Endpoint(nil), r.endpoints...), nil
}

func (r *fakeRegistry) Instances(context.Context) ([]savorystep.Instance, error) { return nil, nil }

func (r *fakeRegistry) Register(context.Context, savorystep.Instance) error { return nil }

// set adds an endpoint or replaces the one with its ID.
func (r *fakeRegistry) set(endpoint savorystep.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.endpoints {
		if r.endpoints[i].ID == endpoint.ID {
			r.endpoints[i] = endpoint
			return
		}
	}
	r.endpoints = append(r.endpoints, endpoint)
}

// A factBus delivers facts between the fakeFacts of a test without delay.
type factBus struct {
	mu      sync.Mutex
	facts   []savorystep.ReceivedFact
	members []*fakeFacts
}

// A fakeFacts is the connection of one instance to a factBus.
type fakeFacts struct {
	bus  *factBus
	self savorystep.InstanceID
	subs map[savorystep.FactKind][]func(savorystep.ReceivedFact)
}

func (b *factBus) join(self savorystep.InstanceID) *fakeFacts {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &fakeFacts{bus: b, self: self, subs: make(map[savorystep.FactKind][]func(savorystep.ReceivedFact))}
	b.members = append(b.members, f)
	return f
}

func (f *fakeFacts) Facts(kind savorystep.FactKind) []savorystep.ReceivedFact {
	f.bus.mu.Lock()
	defer f.bus.mu.Unlock()
	var found []savorystep.ReceivedFact
	for _, fact := range f.bus.facts {
		if fact.Kind == kind {
			found = append(found, fact)
		}
	}
	return found
}

func (f *fakeFacts) Publish(kind savorystep.FactKind, subject string, body any) {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic(err)
	}
	f.bus.mu.Lock()
	fact := savorystep.ReceivedFact{
		Fact:       savorystep.Fact{Instance: f.self, Kind: kind, Subject: subject, Body: data},
		ReceivedAt: time.Now(),
	}
	fact.Sequence = uint64(len(f.bus.facts) + 1)
	f.bus.facts = append(f.bus.facts, fact)
	var subs []func(savorystep.ReceivedFact)
	for _, member := range f.bus.members {
		subs = append(subs, member.subs[kind]...)
	}
	f.bus.mu.Unlock()
	for _, sub := range subs {
		sub(fact)
	}
}

func (f *fakeFacts) Broadcast(_ context.Context, kind savorystep.FactKind, subject string, body any) (acked, missing int) {
	f.Publish(kind, subject, body)
	f.bus.mu.Lock()
	defer f.bus.mu.Unlock()
	return len(f.bus.members) - 1, 0
}

func (f *fakeFacts) Subscribe(kind savorystep.FactKind, sub func(savorystep.ReceivedFact)) {
	f.bus.mu.Lock()
	defer f.bus.mu.Unlock()
	f.subs[kind] = append(f.subs[kind], sub)
}

// A fakeBudgets grants permits up to the limits given to Acquire.
type fakeBudgets struct {
	mu      sync.Mutex
	used    map[savorystep.BudgetName]savorystep.Slots
	peak    map[savorystep.BudgetName]savorystep.Slots
	expired bool
}

func (b *fakeBudgets) Acquire(_ time.Time, name savorystep.BudgetName, limit savorystep.Slots) (savorystep.Permit, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used == nil {
		b.used = make(map[savorystep.BudgetName]savorystep.Slots)
		b.peak = make(map[savorystep.BudgetName]savorystep.Slots)
	}
	if b.used[name] >= limit {
		return nil, savorystep.NewError(savorystep.KindCapReached, "budget %s is used up", name)
	}
	b.used[name]++
	b.peak[name] = max(b.peak[name], b.used[name])
	return &fakePermit{budgets: b, name: name}, nil
}

func (b *fakeBudgets) inUse(name savorystep.BudgetName) savorystep.Slots {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[name]
}

// A fakePermit is a permit of a fakeBudgets.
type fakePermit struct {
	budgets *fakeBudgets
	name    savorystep.BudgetName
	once    sync.Once
}

func (p *fakePermit) Release() {
	p.once.Do(func() {
		p.budgets.mu.Lock()
		defer p.budgets.mu.Unlock()
		p.budgets.used[p.name]--
	})
}

func (p *fakePermit) Valid(time.Time) bool {
	p.budgets.mu.Lock()
	defer p.budgets.mu.Unlock()
	return !p.budgets.expired
}

// A testbed is a registry and its running fake upstreams.
type testbed struct {
	t         *testing.T
	registry  *fakeRegistry
	factBus   *factBus
	upstreams map[savorystep.EndpointID]*standin.Upstream
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	return &testbed{
		t: t, registry: &fakeRegistry{}, factBus: &factBus{},
		upstreams: make(map[savorystep.EndpointID]*standin.Upstream),
	}
}

// addUpstream starts a fake upstream in a region and lists it in the registry.
func (tb *testbed) addUpstream(id savorystep.EndpointID, region savorystep.Region, config standin.UpstreamConfig) *standin.Upstream {
	tb.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.t.Fatal(err)
	}
	config.ID, config.Service = id, testService
	if config.MeanServiceTime == 0 {
		config.MeanServiceTime = -1
	}
	if config.Slots == 0 {
		config.Slots = 3
	}
	u := standin.NewUpstream(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := u.Serve(ctx, listener)
	tb.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil && !errors.Is(err, standin.ErrCrashed) {
			tb.t.Errorf("upstream %s ended: %v", id, err)
		}
	})
	tb.upstreams[id] = u
	tb.registry.set(savorystep.Endpoint{
		ID: id, Service: testService, Place: savorystep.Place{Region: region, Zone: savorystep.Zone(region + "-a")},
		State: savorystep.StateLive, Address: savorystep.Address(listener.Addr().String()),
		Slots: config.Slots, MaxConnections: 330,
	})
	return u
}

// newPool starts a pool that uses all endpoints of the testbed.
func (tb *testbed) newPool(change func(*upstream.Config)) *upstream.Pool {
	tb.t.Helper()
	config := upstream.Config{
		Registry: tb.registry,
		Self:     savorystep.Instance{ID: "instance-1", Place: savorystep.Place{Region: "natal", Zone: "natal-a"}},
		Limits:   upstream.Limits{PollInterval: 20 * time.Millisecond, TickInterval: 5 * time.Millisecond, LoadPageInterval: 50 * time.Millisecond},
	}
	if change != nil {
		change(&config)
	}
	if config.Facts == nil {
		config.Facts = tb.factBus.join(config.Self.ID)
	}
	p := upstream.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := p.Start(ctx)
	// This cleanup is registered after those of the fake upstreams, so it runs
	// before them.
	tb.t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			tb.t.Errorf("pool ended: %v", err)
		}
	})
	want := len(tb.registry.endpoints)
	tb.eventually("all endpoints are known", func() bool {
		known := 0
		for _, load := range p.RegionLoads(testService, time.Now()) {
			known += load.Endpoints
		}
		return known == want
	})
	return p
}

// eventually waits until a condition holds. The time limit only ends a test
// that hangs.
func (tb *testbed) eventually(what string, holds func() bool) {
	tb.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return
		}
	}
	tb.t.Fatalf("condition not met in time: %s", what)
}

// runsOf returns how often the fake upstreams ran a request.
func (tb *testbed) runsOf(id savorystep.RequestID) int {
	sum := 0
	for _, u := range tb.upstreams {
		sum += u.Stats().RunsByRequest[id]
	}
	return sum
}

// record returns a record with equal weights for the given regions.
func record(regions ...savorystep.Region) *savorystep.Record {
	r := &savorystep.Record{Service: testService}
	for _, region := range regions {
		r.Shares = append(r.Shares, savorystep.Share{Region: region, Weight: 1})
	}
	return r
}

// get returns an idempotent request with fingerprint 7.
func get(id savorystep.RequestID, path string) *savorystep.Request {
	return &savorystep.Request{
		ID: id, Service: testService, Record: record("natal"), Method: "GET", Path: path,
		Idempotent: true, Home: "natal", Deadline: time.Now().Add(testTimeout), Fingerprint: 7,
	}
}

// post returns an at-most-once request with fingerprint 7.
func post(id savorystep.RequestID, path string) *savorystep.Request {
	request := get(id, path)
	request.Method, request.Idempotent = "POST", false
	return request
}

// readAll reads and closes the body of a response.
func readAll(t *testing.T, response *savorystep.Response) string {
	t.Helper()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("read the response: %v", err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return string(data)
}
