package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// A proofSystem has entries in separate processes. The platform and the upstreams
// run in the test's process, so that the test knows what ran at an upstream also
// after its crash, and counts concurrent requests without polling.
type proofSystem struct {
	*processSystem
	platform *standin.Platform

	mu              sync.Mutex
	callerAddresses []savorystep.Address
	endpoints       map[savorystep.EndpointID]*standin.Upstream
	concurrency     proofConcurrency
}

// A proofConfig configures a proofSystem.
type proofConfig struct {
	Entries int
	// EndpointsPerService is the number of endpoints of each service, distributed
	// over Regions in turn.
	EndpointsPerService int
	Services            []savorystep.Service
	Regions             []savorystep.Region
	Slots               savorystep.Slots
	// Table is the platform's table. If it is nil, the platform has a correct one.
	Table savorystep.Table
	// WithoutEntries leaves the start of the entries to the test.
	WithoutEntries bool
}

var proofRegions = []savorystep.Region{"recife", "natal", "fortaleza"}

// startProofSystem starts a system and waits until each entry is ready and lists the
// others as ready.
func startProofSystem(t *testing.T, config proofConfig) *proofSystem {
	t.Helper()
	if config.Regions == nil {
		config.Regions = proofRegions
	}
	p := &proofSystem{
		processSystem: &processSystem{t: t},
		platform:      standin.NewPlatform(standin.PlatformConfig{Table: config.Table}),
		endpoints:     make(map[savorystep.EndpointID]*standin.Upstream),
		concurrency:   newProofConcurrency(),
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	t.Cleanup(cancel)
	listener := p.listen()
	p.platformAddress = savorystep.Address(listener.Addr().String())
	p.platform.Serve(ctx, listener)
	for _, service := range config.Services {
		for i := range config.EndpointsPerService {
			p.startEndpoint(ctx, service, config.Regions[i%len(config.Regions)], i, config.Slots)
		}
	}
	if config.WithoutEntries {
		return p
	}
	for i := range config.Entries {
		p.startEntry(config.Regions[i%len(config.Regions)])
	}
	for i := range p.entries {
		p.awaitAndAddEntry(i)
	}
	// A change counts as in force once the members that one entry lists have it, so
	// each entry must list all others before the first change.
	p.awaitPeers(config.Entries)
	return p
}

// listen opens a listener on a free loopback port.
func (p *proofSystem) listen() net.Listener {
	p.t.Helper()
	listener, err := listen(p.t.Context(), "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	return listener
}

// startEndpoint starts an upstream and registers it as an endpoint at the platform.
func (p *proofSystem) startEndpoint(ctx context.Context, service savorystep.Service, region savorystep.Region, index int, slots savorystep.Slots) {
	p.t.Helper()
	listener := p.listen()
	endpoint := savorystep.Endpoint{
		ID:             savorystep.EndpointID(fmt.Sprintf("%s-%d", service, index)),
		Service:        service,
		Place:          savorystep.Place{Region: region, Zone: savorystep.Zone(region) + "-a"},
		State:          savorystep.StateLive,
		Address:        savorystep.Address(listener.Addr().String()),
		Slots:          max(slots, 6),
		MaxConnections: 330,
	}
	upstream := standin.NewUpstream(standin.UpstreamConfig{
		ID: endpoint.ID, Service: service, Slots: endpoint.Slots, MeanServiceTime: 5 * time.Millisecond,
		Seed: uint64(index), Observe: p.concurrency.observer(service, region),
	})
	p.endpoints[endpoint.ID] = upstream
	upstream.Serve(ctx, listener)
	client := store.NewClient(store.ClientConfig{Address: p.platformAddress})
	p.t.Cleanup(client.Close)
	if err := client.RegisterEndpoint(ctx, endpoint); err != nil {
		p.t.Fatal(err)
	}
}

// awaitAndAddEntry waits until an entry is ready and adds it to those that the
// test sends requests to.
func (p *proofSystem) awaitAndAddEntry(i int) {
	p.t.Helper()
	p.awaitReady(i)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerAddresses = append(p.callerAddresses, p.settings[i].CallerAddress)
}

// callerAddress returns the address of an entry for callers. Successive numbers
// give all entries in turn.
func (p *proofSystem) callerAddress(n int) savorystep.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callerAddresses[n%len(p.callerAddresses)]
}

// runsByKey returns how often the request of each idempotency key ran, over all
// upstreams.
func (p *proofSystem) runsByKey() map[savorystep.IdempotencyKey]int {
	runs := make(map[savorystep.IdempotencyKey]int)
	for _, u := range p.endpoints {
		for key, count := range u.Stats().RunsByKey {
			runs[key] += count
		}
	}
	return runs
}

// equalSharesRecord returns a record of a service with equal shares in the given
// regions.
func (p *proofSystem) equalSharesRecord(service savorystep.Service, regions ...savorystep.Region) savorystep.Record {
	record := savorystep.Record{Schema: 2, Service: service}
	for _, region := range regions {
		record.Shares = append(record.Shares, savorystep.Share{Region: region, Weight: 1})
	}
	return record
}

// A proofFlow is the traffic of a service from one region to another. An empty
// origin stands for callers of all regions.
type proofFlow struct {
	service        savorystep.Service
	origin, target savorystep.Region
}

// A proofRun is the run of a request at an upstream.
type proofRun struct {
	id        savorystep.RequestID
	startedAt time.Time
	// endedAt is zero while the request runs.
	endedAt time.Time
	// isCancelled is true if the entry closed the connection before the run ended.
	isCancelled bool
}

// A proofConcurrency counts the requests that run at the upstreams at once.
type proofConcurrency struct {
	mu      sync.Mutex
	running map[proofFlow]map[*http.Request]*proofRun
	peak    map[proofFlow]int
	// peakRuns holds the runs of the first moment at which a flow had its peak.
	peakRuns map[proofFlow][]*proofRun
}

func newProofConcurrency() proofConcurrency {
	return proofConcurrency{
		running:  make(map[proofFlow]map[*http.Request]*proofRun),
		peak:     make(map[proofFlow]int),
		peakRuns: make(map[proofFlow][]*proofRun),
	}
}

// observer returns the function that an endpoint calls when a request starts or
// ends.
func (c *proofConcurrency) observer(service savorystep.Service, region savorystep.Region) func(*http.Request, bool) {
	return func(request *http.Request, running bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		origin := savorystep.Region(request.Header.Get(savorystep.HeaderFrom))
		now := time.Now()
		started := &proofRun{id: savorystep.RequestID(request.Header.Get(savorystep.HeaderRequest)), startedAt: now}
		for _, flow := range []proofFlow{{service: service, origin: origin, target: region}, {service: service, target: region}} {
			if !running {
				// A request without an origin is in one flow only.
				if run := c.running[flow][request]; run != nil {
					run.endedAt, run.isCancelled = now, request.Context().Err() != nil
					delete(c.running[flow], request)
				}
				continue
			}
			c.start(flow, request, started)
		}
	}
}

// start adds a run to a flow. The caller holds mu.
func (c *proofConcurrency) start(flow proofFlow, request *http.Request, run *proofRun) {
	if c.running[flow] == nil {
		c.running[flow] = make(map[*http.Request]*proofRun)
	}
	c.running[flow][request] = run
	if len(c.running[flow]) > c.peak[flow] {
		c.peak[flow] = len(c.running[flow])
		c.peakRuns[flow] = slices.Collect(maps.Values(c.running[flow]))
	}
}

// logPeak logs the runs of the first moment at which a flow had its peak: whether the
// sum was exceeded by a request that its entry had given up, or by one that it had not.
func (c *proofConcurrency) logPeak(t *testing.T, flow proofFlow) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, run := range c.peakRuns[flow] {
		t.Logf("at the peak of %+v: request %s from %s to %s, cancelled %t", flow, run.id,
			run.startedAt.Format(time.StampMicro), run.endedAt.Format(time.StampMicro), run.isCancelled)
	}
}

// peakOf returns the largest number of requests of a flow that ran at once.
func (c *proofConcurrency) peakOf(flow proofFlow) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak[flow]
}

// A proofRequest is a request to one entry.
type proofRequest struct {
	method, path, origin string
	service              savorystep.Service
	id                   savorystep.RequestID
	key                  savorystep.IdempotencyKey
	body                 string
	timeout              time.Duration
	// firstAttempt is true if no earlier attempt with the key may have run.
	firstAttempt bool
}

// A proofResponse is the outcome of one attempt.
type proofResponse struct {
	execution savorystep.Execution
	kind      savorystep.Kind
	// body is the complete response body if an upstream answered.
	body string
	err  error
}

// fromUpstream reports whether the response was sent by an upstream, not by an
// entry.
func (r proofResponse) fromUpstream() bool {
	return r.err == nil && r.kind == savorystep.KindNone
}

// proofTransport opens a connection for each request, because a transport retries
// requests with an idempotency key by itself if a reused connection breaks.
var proofTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// errNotDialed is the error of an attempt whose connection could not be opened.
var errNotDialed = errors.New("the connection to the entry was not opened")

// sendTo sends a request to one entry, without retries.
func sendTo(ctx context.Context, address savorystep.Address, r proofRequest) proofResponse {
	timeout := r.timeout
	if timeout == 0 {
		timeout = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+string(address)+"/s/"+string(r.service)+r.path, strings.NewReader(r.body))
	if err != nil {
		return proofResponse{err: err}
	}
	request.Header.Set(savorystep.HeaderRequest, string(r.id))
	if r.key != "" {
		request.Header.Set(savorystep.HeaderKey, string(r.key))
	}
	if r.firstAttempt {
		request.Header.Set(savorystep.HeaderAttempt, "1")
	}
	if r.origin != "" {
		request.Header.Set(savorystep.HeaderFrom, r.origin)
	}
	response, err := proofTransport.RoundTrip(request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return proofResponse{execution: savorystep.NotExecuted, err: errors.Join(errNotDialed, err)}
		}
		return proofResponse{execution: savorystep.ExecutionUnknown, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return proofResponse{execution: savorystep.ExecutionUnknown, err: err}
	}
	kind, _ := savorystep.ParseKind(response.Header.Get(savorystep.HeaderKind))
	result := proofResponse{kind: kind, body: string(body), execution: savorystep.ExecutionUnknown}
	switch response.Header.Get(savorystep.HeaderRan) {
	case "no":
		result.execution = savorystep.NotExecuted
	case "yes":
		result.execution = savorystep.Executed
	}
	return result
}

// A proofLoad sends requests until it is stopped and counts their outcomes.
type proofLoad struct {
	answered, failed atomic.Int64
	mu               sync.Mutex
	failuresByKind   map[string]int
	cancel           context.CancelFunc
	workers          sync.WaitGroup
}

// startLoad starts workers that send requests. Each worker uses one entry, so that
// a paused entry blocks only its own workers.
func (p *proofSystem) startLoad(workers int, newRequest func(worker, n int) proofRequest) *proofLoad {
	ctx, cancel := context.WithCancel(p.t.Context())
	load := &proofLoad{cancel: cancel, failuresByKind: make(map[string]int)}
	for worker := range workers {
		load.workers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				response := sendTo(ctx, p.callerAddress(worker), newRequest(worker, n))
				if ctx.Err() != nil {
					return
				}
				load.count(response)
				if !response.fromUpstream() {
					savorystep.Sleep(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	p.t.Cleanup(load.stopAndWait)
	return load
}

// count counts the outcome of one request.
func (l *proofLoad) count(response proofResponse) {
	if response.fromUpstream() {
		l.answered.Add(1)
		return
	}
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if response.err != nil {
		l.failuresByKind["connection"]++
		return
	}
	l.failuresByKind[response.kind.String()]++
}

// stopAndWait stops the workers and waits for them.
func (l *proofLoad) stopAndWait() {
	l.cancel()
	l.workers.Wait()
}

// checkFailures checks that all failed requests were rejected as not executed and
// retryable, except for at most maxInterrupted ones that were in flight when their
// upstream crashed.
func (l *proofLoad) checkFailures(t *testing.T, maxInterrupted int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for kind, count := range l.failuresByKind {
		if kind == savorystep.KindUpstreamFailed.String() && count <= maxInterrupted {
			continue
		}
		if parsed, ok := savorystep.ParseKind(kind); !ok || !parsed.Info().Retryable || parsed.Info().Execution != savorystep.NotExecuted {
			t.Errorf("%d requests failed with %s, want only kinds that are retryable and not executed", count, kind)
		}
	}
}

// An uncheckedTable drops the conditions on rows with certain prefixes, and so the
// protection that they give. It shows that a proof finds the fault it looks for.
type uncheckedTable struct {
	savorystep.Table
	uncheckedPrefixes []savorystep.RowKey
}

// Commit commits a transaction without the conditions on rows with the prefixes.
func (t *uncheckedTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	var checkedConditions []savorystep.Condition
	for _, condition := range txn.Conditions {
		unchecked := false
		for _, prefix := range t.uncheckedPrefixes {
			unchecked = unchecked || strings.HasPrefix(string(condition.Key), string(prefix))
		}
		if !unchecked {
			checkedConditions = append(checkedConditions, condition)
		}
	}
	txn.Conditions = checkedConditions
	return t.Table.Commit(ctx, txn)
}
