package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// A proofSystem has entries in processes of their own. The platform and the
// upstreams run in the test's process, so that what ran at an upstream is still
// known after its crash and what runs at once is counted without polling.
type proofSystem struct {
	*processes
	platform *standin.Platform

	mu        sync.Mutex
	callers   []savorystep.Address
	endpoints map[savorystep.EndpointID]*standin.Upstream
	running   proofRunning
}

// A proofConfig configures a proofSystem.
type proofConfig struct {
	Entries int
	// Endpoints is how many endpoints each service has, spread over Regions.
	Endpoints int
	Services  []savorystep.Service
	Regions   []savorystep.Region
	Slots     savorystep.Slots
	// Table is the platform's table; nil means a correct one.
	Table savorystep.Table
	// Unstarted leaves the entries to the test.
	Unstarted bool
}

var proofRegions = []savorystep.Region{"recife", "natal", "fortaleza"}

// startProof starts a system and waits until its entries are ready.
func startProof(t *testing.T, config proofConfig) *proofSystem {
	t.Helper()
	if config.Regions == nil {
		config.Regions = proofRegions
	}
	p := &proofSystem{
		processes: &processes{t: t},
		platform:  standin.NewPlatform(standin.PlatformConfig{Table: config.Table}),
		endpoints: make(map[savorystep.EndpointID]*standin.Upstream),
		running:   proofRunning{now: make(map[proofFlow]int), most: make(map[proofFlow]int)},
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	t.Cleanup(cancel)
	listener := p.listen()
	p.address = savorystep.Address(listener.Addr().String())
	p.platform.Serve(ctx, listener)
	for _, service := range config.Services {
		for i := range config.Endpoints {
			p.startEndpoint(ctx, service, config.Regions[i%len(config.Regions)], i, config.Slots)
		}
	}
	if config.Unstarted {
		return p
	}
	for i := range config.Entries {
		p.startEntry(config.Regions[i%len(config.Regions)])
	}
	for i := range p.entries {
		p.join(i)
	}
	// A change is in force everywhere once the members that an entry knows have
	// it, so the entries must know each other before the first one.
	p.awaitPeers(config.Entries)
	return p
}

// listen opens a listener on loopback.
func (p *proofSystem) listen() net.Listener {
	p.t.Helper()
	listener, err := listen(p.t.Context(), "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	return listener
}

// startEndpoint starts one endpoint and registers it.
func (p *proofSystem) startEndpoint(ctx context.Context, service savorystep.Service, region savorystep.Region, number int, slots savorystep.Slots) {
	p.t.Helper()
	listener := p.listen()
	endpoint := savorystep.Endpoint{
		ID:             savorystep.EndpointID(fmt.Sprintf("%s-%d", service, number)),
		Service:        service,
		Place:          savorystep.Place{Region: region, Zone: savorystep.Zone(region) + "-a"},
		State:          savorystep.StateLive,
		Address:        savorystep.Address(listener.Addr().String()),
		Slots:          max(slots, 6),
		MaxConnections: 330,
	}
	u := standin.NewUpstream(standin.UpstreamConfig{
		ID: endpoint.ID, Service: service, Slots: endpoint.Slots, MeanServiceTime: 5 * time.Millisecond,
		Seed: uint64(number), Observe: p.running.observer(service, region),
	})
	p.endpoints[endpoint.ID] = u
	u.Serve(ctx, listener)
	client := store.NewClient(store.ClientConfig{Address: p.address})
	p.t.Cleanup(client.Close)
	if err := client.RegisterEndpoint(ctx, endpoint); err != nil {
		p.t.Fatal(err)
	}
}

// join waits until an entry is ready and adds it to those that callers use.
func (p *proofSystem) join(i int) {
	p.t.Helper()
	p.awaitReady(i)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers = append(p.callers, p.settings[i].CallerAddress)
}

// caller returns an entry's address; successive numbers name all in turn.
func (p *proofSystem) caller(n int) savorystep.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callers[n%len(p.callers)]
}

// keyRuns returns how often each key ran, over all upstreams.
func (p *proofSystem) keyRuns() map[savorystep.IdempotencyKey]int {
	runs := make(map[savorystep.IdempotencyKey]int)
	for _, u := range p.endpoints {
		for key, count := range u.Stats().RunsByKey {
			runs[key] += count
		}
	}
	return runs
}

// record applies a record of a service with equal shares in the given regions.
func (p *proofSystem) record(service savorystep.Service, regions ...savorystep.Region) savorystep.Record {
	record := savorystep.Record{Schema: 2, Service: service}
	for _, region := range regions {
		record.Shares = append(record.Shares, savorystep.Share{Region: region, Weight: 1})
	}
	return record
}

// A proofFlow is the traffic of a service from callers of a region into a
// region. An empty origin stands for all callers.
type proofFlow struct {
	service  savorystep.Service
	from, to savorystep.Region
}

// proofRunning counts what runs at the upstreams.
type proofRunning struct {
	mu   sync.Mutex
	now  map[proofFlow]int
	most map[proofFlow]int
}

// observer returns the observer of an endpoint.
func (r *proofRunning) observer(service savorystep.Service, region savorystep.Region) func(*http.Request, bool) {
	return func(request *http.Request, running bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		from := savorystep.Region(request.Header.Get(savorystep.HeaderFrom))
		for _, flow := range []proofFlow{{service: service, from: from, to: region}, {service: service, to: region}} {
			if !running {
				r.now[flow]--
				continue
			}
			r.now[flow]++
			r.most[flow] = max(r.most[flow], r.now[flow])
		}
	}
}

// mostOf returns the most requests of a flow that ran at once.
func (r *proofRunning) mostOf(flow proofFlow) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.most[flow]
}

// A proofRequest is a request to one entry.
type proofRequest struct {
	method, path, from string
	service            savorystep.Service
	id                 savorystep.RequestID
	key                savorystep.IdempotencyKey
	body               string
	timeout            time.Duration
	// first is true if no earlier attempt with the key may have run.
	first bool
}

// A proofAnswer is the outcome of one attempt.
type proofAnswer struct {
	ran  savorystep.Execution
	kind savorystep.Kind
	// body is the whole answer if the request was answered by an upstream.
	body string
	err  error
}

// answered reports whether the answer is that of an upstream.
func (a proofAnswer) answered() bool {
	return a.err == nil && a.kind == savorystep.KindNone
}

// proofTransport opens a connection for each request, because a transport sends
// requests with an idempotency key again by itself if a used connection breaks.
var proofTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// errNotDialed is the error of an attempt whose connection was not opened.
var errNotDialed = errors.New("the connection was not opened")

// sendTo sends a request to one entry, once.
func sendTo(ctx context.Context, address savorystep.Address, r proofRequest) proofAnswer {
	timeout := r.timeout
	if timeout == 0 {
		timeout = 3 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+string(address)+"/s/"+string(r.service)+r.path, strings.NewReader(r.body))
	if err != nil {
		return proofAnswer{err: err}
	}
	request.Header.Set(savorystep.HeaderRequest, string(r.id))
	if r.key != "" {
		request.Header.Set(savorystep.HeaderKey, string(r.key))
	}
	if r.first {
		request.Header.Set(savorystep.HeaderAttempt, "1")
	}
	if r.from != "" {
		request.Header.Set(savorystep.HeaderFrom, r.from)
	}
	response, err := proofTransport.RoundTrip(request)
	if err != nil {
		var failed *net.OpError
		if errors.As(err, &failed) && failed.Op == "dial" {
			return proofAnswer{ran: savorystep.NotExecuted, err: errors.Join(errNotDialed, err)}
		}
		return proofAnswer{ran: savorystep.ExecutionUnknown, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return proofAnswer{ran: savorystep.ExecutionUnknown, err: err}
	}
	kind, _ := savorystep.ParseKind(response.Header.Get(savorystep.HeaderKind))
	answer := proofAnswer{kind: kind, body: string(body), ran: savorystep.ExecutionUnknown}
	switch response.Header.Get(savorystep.HeaderRan) {
	case "no":
		answer.ran = savorystep.NotExecuted
	case "yes":
		answer.ran = savorystep.Executed
	}
	return answer
}

// A proofLoad sends requests until it is stopped.
type proofLoad struct {
	answered, failed atomic.Int64
	mu               sync.Mutex
	kinds            map[string]int
	stop             context.CancelFunc
	ended            sync.WaitGroup
}

// startLoad starts workers that send requests, each to one entry, so that an
// entry that is paused holds up only its own workers.
func (p *proofSystem) startLoad(workers int, request func(worker, n int) proofRequest) *proofLoad {
	ctx, cancel := context.WithCancel(p.t.Context())
	load := &proofLoad{stop: cancel, kinds: make(map[string]int)}
	for worker := range workers {
		load.ended.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				answer := sendTo(ctx, p.caller(worker), request(worker, n))
				if ctx.Err() != nil {
					return
				}
				load.add(answer)
				if !answer.answered() {
					savorystep.Sleep(ctx, 10*time.Millisecond)
				}
			}
		})
	}
	p.t.Cleanup(load.finish)
	return load
}

// add counts one outcome.
func (l *proofLoad) add(answer proofAnswer) {
	if answer.answered() {
		l.answered.Add(1)
		return
	}
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.err != nil {
		l.kinds["connection"]++
		return
	}
	l.kinds[answer.kind.String()]++
}

// finish stops the workers and waits for them.
func (l *proofLoad) finish() {
	l.stop()
	l.ended.Wait()
}

// checkRefusals checks that requests without an answer were refused as not run
// and may be sent again, but for at most broken ones that were in flight when
// their upstream died.
func (l *proofLoad) checkRefusals(t *testing.T, broken int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for kind, count := range l.kinds {
		if kind == savorystep.KindUpstreamFailed.String() && count <= broken {
			continue
		}
		if parsed, ok := savorystep.ParseKind(kind); !ok || !parsed.Info().Retryable || parsed.Info().Execution != savorystep.NotExecuted {
			t.Errorf("%d requests ended with %s", count, kind)
		}
	}
}

// An uncheckedTable is a table that forgets the conditions on rows with a
// prefix. It removes the protection that the conditions give.
type uncheckedTable struct {
	savorystep.Table
	prefixes []savorystep.RowKey
}

// Commit makes a transaction without the conditions of the prefixes.
func (t *uncheckedTable) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	var kept []savorystep.Condition
	for _, condition := range txn.Conditions {
		unchecked := false
		for _, prefix := range t.prefixes {
			unchecked = unchecked || strings.HasPrefix(string(condition.Key), string(prefix))
		}
		if !unchecked {
			kept = append(kept, condition)
		}
	}
	txn.Conditions = kept
	return t.Table.Commit(ctx, txn)
}
