package upstream

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"savorystep"
)

// The comparison is a queueing model in virtual time: an open loop of Poisson
// arrivals at 10 instances, and 12 endpoints with 3 slots and log-normal
// service times with a mean of 20 ms and sigma 0.5. All policies get the same
// requests.
const (
	simInstances       = 10
	simEndpoints       = 12
	simSlots           = 3
	simMeanServiceTime = 20 * time.Millisecond
	simSigma           = 0.5
	simInstanceQueue   = 4 * simEndpoints * simSlots
	simGossipInterval  = 100 * time.Millisecond
	// simSlowFactor multiplies the service time at the slow endpoint.
	simSlowFactor = 5
	// simEndpointQueue is the number of requests that wait at an endpoint
	// before it sheds.
	simEndpointQueue = 1
)

// A choicePolicy is a way to choose endpoints.
type choicePolicy struct {
	name string
	// singleQueue is true for one central queue for all endpoints.
	singleQueue bool
	// reportInterval is the interval of the endpoints' load reports for the
	// better of two random choices. It is 0 for Choose with the counts of
	// requests in flight.
	reportInterval time.Duration
	// activeInstances is the number of instances that get requests.
	activeInstances int
}

// A scenario is a situation in which the policies are compared.
type scenario struct {
	name string
	// load is the mean fraction of all slots that is busy, 1 for all of them.
	load float64
	// killInstance ends the first instance at half time.
	killInstance bool
	// slowEndpoint multiplies the service time of endpoint 0 by simSlowFactor.
	slowEndpoint bool
	// splitOwner doubles a single active instance, as happens when the request
	// rate is too high for one owner.
	splitOwner bool
}

// A simRequest is a request of the model.
type simRequest struct {
	arrivedAt   time.Duration
	serviceTime time.Duration
	caller      int
	instance    int
	endpoint    int
	// restarts counts how often the request was removed from an endpoint because
	// its instance was killed.
	restarts int
	// avoid lists the endpoints that have shed the request.
	avoid     []int
	completed bool
}

// A simEvent is an arrival (restarts is -1), the end of a request's service or,
// without a request, a tick. The end of service is ignored if the request was
// restarted since.
type simEvent struct {
	at       time.Duration
	request  *simRequest
	restarts int
}

type simEventHeap []simEvent

func (h simEventHeap) Len() int           { return len(h) }
func (h simEventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// A sim is the state of the model.
type sim struct {
	policy         choicePolicy
	scenario       scenario
	random         *rand.Rand
	now            time.Duration
	events         simEventHeap
	busySlots      [simEndpoints]int
	endpointQueues [simEndpoints][]*simRequest
	lastReports    [simEndpoints]int
	ownInFlight    [simInstances][simEndpoints]savorystep.Slots
	peerCounts     [simInstances][simEndpoints]peerCount
	health         [simInstances][simEndpoints]*Health
	instanceQueues [simInstances][]*simRequest
	// running holds the requests at endpoints, in service or in the endpoint's
	// queue.
	running        map[*simRequest]bool
	instanceKilled bool
	latencies      []time.Duration
	// refused counts rejected requests, refusedWhileFree those rejected while a
	// slot was free, waitedWhileFree the requests that queued while a slot was
	// free, shedCount how often an endpoint shed a request.
	refused, refusedWhileFree, waitedWhileFree, shedCount int
}

// simulate runs n requests and returns the final state.
func simulate(policy choicePolicy, sc scenario, n int) *sim {
	s := &sim{policy: policy, scenario: sc, random: rand.New(rand.NewPCG(2, 2)), running: map[*simRequest]bool{}}
	for instance := range simInstances {
		for i := range simEndpoints {
			s.health[instance][i] = NewHealth(HealthLimits{})
		}
	}
	if sc.splitOwner && policy.activeInstances == 1 {
		s.policy.activeInstances = 2
	}
	// The requests have a random source of their own, so that all policies get
	// the same ones.
	source := rand.New(rand.NewPCG(1, 1))
	rate := sc.load * simEndpoints * simSlots / float64(simMeanServiceTime)
	at := time.Duration(0)
	for range n {
		at += time.Duration(source.ExpFloat64() / rate)
		serviceTime := time.Duration(float64(simMeanServiceTime) * math.Exp(source.NormFloat64()*simSigma-simSigma*simSigma/2))
		s.events = append(s.events, simEvent{at, &simRequest{arrivedAt: at, serviceTime: serviceTime, caller: source.IntN(1000)}, -1})
	}
	for tick := time.Duration(0); tick < at; tick += simGossipInterval {
		s.events = append(s.events, simEvent{at: tick})
	}
	heap.Init(&s.events)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		switch {
		case e.request == nil:
			s.tick(at / 2)
		case e.restarts < 0:
			s.arrive(e.request)
		case e.restarts == e.request.restarts && !e.request.completed:
			s.complete(e.request)
		}
	}
	slices.Sort(s.latencies)
	return s
}

// tick distributes counts and load reports, and kills the first instance at
// half time.
func (s *sim) tick(half time.Duration) {
	if s.policy.reportInterval > 0 && s.now%s.policy.reportInterval == 0 {
		for i := range s.lastReports {
			s.lastReports[i] = s.busySlots[i] + len(s.endpointQueues[i])
		}
	}
	if s.scenario.killInstance && !s.instanceKilled && s.now >= half {
		s.killFirstInstance()
	}
	for instance := range simInstances {
		if s.instanceKilled && instance == 0 {
			continue
		}
		for i := range simEndpoints {
			s.peerCounts[instance][i] = s.peerCounts[instance][i].withReport(s.ownInFlight[instance][i], simTime(s.now), simGossipInterval)
		}
	}
	for instance := range simInstances {
		s.dispatch(instance)
	}
}

// killFirstInstance ends the first instance. Its connections close, so its
// requests leave the endpoints, and its callers send them again through other
// instances.
func (s *sim) killFirstInstance() {
	s.instanceKilled = true
	var resent []*simRequest
	for r := range s.running {
		if r.instance == 0 {
			resent = append(resent, r)
		}
	}
	slices.SortFunc(resent, func(a, b *simRequest) int { return int(a.arrivedAt - b.arrivedAt) })
	for _, r := range resent {
		r.restarts++
		delete(s.running, r)
		queue := s.endpointQueues[r.endpoint]
		if i := slices.Index(queue, r); i >= 0 {
			s.endpointQueues[r.endpoint] = slices.Delete(queue, i, i+1)
		} else {
			s.busySlots[r.endpoint]--
		}
	}
	resent = append(resent, s.instanceQueues[0]...)
	s.instanceQueues[0] = nil
	s.ownInFlight[0] = [simEndpoints]savorystep.Slots{}
	for i := range simEndpoints {
		s.startQueued(i)
	}
	for _, r := range resent {
		s.arrive(r)
	}
}

// arrive sends a request to an instance.
func (s *sim) arrive(r *simRequest) {
	r.instance = r.caller % s.policy.activeInstances
	if s.instanceKilled && r.instance == 0 && !s.policy.singleQueue {
		r.instance = 1 + r.caller/s.policy.activeInstances%max(1, s.policy.activeInstances-1)
	}
	switch {
	case s.policy.reportInterval > 0:
		s.sendTo(r, s.twoChoices())
	case len(s.instanceQueues[r.instance]) == 0 && s.tryDispatch(r):
	case len(s.instanceQueues[r.instance]) >= simInstanceQueue:
		s.countRefusal()
	default:
		s.instanceQueues[r.instance] = append(s.instanceQueues[r.instance], r)
		if s.anySlotFree() {
			s.waitedWhileFree++
		}
	}
}

// twoChoices returns the endpoint with the lower load, according to the last
// reports, of two random ones.
func (s *sim) twoChoices() int {
	a, b := s.random.IntN(simEndpoints), s.random.IntN(simEndpoints)
	if s.lastReports[b] < s.lastReports[a] {
		return b
	}
	return a
}

// tryDispatch sends a request if its instance estimates that a slot is free.
func (s *sim) tryDispatch(r *simRequest) bool {
	var candidates [simEndpoints]Candidate
	for i := range candidates {
		switch {
		case s.policy.singleQueue:
			candidates[i] = Candidate{Slots: simSlots, OwnInFlight: savorystep.Slots(s.busySlots[i])}
		case !s.health[r.instance][i].Paused(simTime(s.now)) && !slices.Contains(r.avoid, i):
			candidates[i] = Candidate{Slots: simSlots, OwnInFlight: s.ownInFlight[r.instance][i], PeersInFlight: s.peersInFlight(r.instance, i)}
		}
	}
	index := Choose(candidates[:], s.random.Uint64())
	if index < 0 {
		return false
	}
	s.sendTo(r, index)
	return true
}

// simTime converts a virtual time to a time.Time.
func simTime(at time.Duration) time.Time {
	return time.Unix(1, 0).Add(at)
}

// peersInFlight returns the estimated requests in flight of the other instances
// to an endpoint.
func (s *sim) peersInFlight(instance, endpoint int) float64 {
	sum := 0.0
	for other := range simInstances {
		if other != instance {
			sum += s.peerCounts[other][endpoint].expectedAt(simTime(s.now), simMeanServiceTime, time.Second)
		}
	}
	return sum
}

// anySlotFree reports whether an endpoint has a free slot.
func (s *sim) anySlotFree() bool {
	return slices.ContainsFunc(s.busySlots[:], func(busy int) bool { return busy < simSlots })
}

// sendTo adds a request to an endpoint's queue, or sheds it if that is full.
func (s *sim) sendTo(r *simRequest, endpoint int) {
	r.endpoint = endpoint
	if s.busySlots[endpoint] >= simSlots && s.anySlotFree() {
		s.waitedWhileFree++
	}
	if s.busySlots[endpoint] >= simSlots && len(s.endpointQueues[endpoint]) >= simEndpointQueue {
		s.retryShed(r)
		return
	}
	s.ownInFlight[r.instance][endpoint]++
	s.running[r] = true
	s.endpointQueues[endpoint] = append(s.endpointQueues[endpoint], r)
	s.startQueued(endpoint)
}

// retryShed sends a shed request again after a round trip, up to the default
// number of attempts of a Retrier.
func (s *sim) retryShed(r *simRequest) {
	s.shedCount++
	r.avoid = append(r.avoid, r.endpoint)
	s.health[r.instance][r.endpoint].RecordShed(simTime(s.now))
	if len(r.avoid) < 3 {
		heap.Push(&s.events, simEvent{s.now + 3*time.Millisecond, r, -1})
		return
	}
	s.countRefusal()
}

// countRefusal counts a rejected request.
func (s *sim) countRefusal() {
	s.refused++
	if s.anySlotFree() {
		s.refusedWhileFree++
	}
}

// startQueued starts queued requests of an endpoint while it has free slots.
func (s *sim) startQueued(endpoint int) {
	for s.busySlots[endpoint] < simSlots && len(s.endpointQueues[endpoint]) > 0 {
		r := s.endpointQueues[endpoint][0]
		s.endpointQueues[endpoint] = s.endpointQueues[endpoint][1:]
		s.busySlots[endpoint]++
		serviceTime := r.serviceTime
		if s.scenario.slowEndpoint && endpoint == 0 {
			serviceTime *= simSlowFactor
		}
		heap.Push(&s.events, simEvent{s.now + serviceTime, r, r.restarts})
	}
}

// complete ends a request.
func (s *sim) complete(r *simRequest) {
	r.completed = true
	delete(s.running, r)
	s.busySlots[r.endpoint]--
	s.ownInFlight[r.instance][r.endpoint]--
	s.health[r.instance][r.endpoint].RecordSuccess(simTime(s.now))
	s.latencies = append(s.latencies, s.now-r.arrivedAt)
	s.startQueued(r.endpoint)
	s.dispatch(r.instance)
}

// dispatch sends queued requests of an instance.
func (s *sim) dispatch(instance int) {
	for len(s.instanceQueues[instance]) > 0 && s.tryDispatch(s.instanceQueues[instance][0]) {
		s.instanceQueues[instance] = s.instanceQueues[instance][1:]
	}
}

// latencyQuantile returns a quantile of the latencies.
func (s *sim) latencyQuantile(q float64) float64 {
	return float64(s.latencies[min(len(s.latencies)-1, int(q*float64(len(s.latencies))))])
}

// TestCompareChoicePolicies prints p50 and p99 of the policies relative to one
// central queue, and guards the results that the design relies on: sending all
// requests through one owner is nearly as good as a central queue, and all
// other policies reject many requests while slots are free, at the latest after
// a request was shed three times. The random seed is fixed. Rejected requests
// are not in the quantiles.
func TestCompareChoicePolicies(t *testing.T) {
	n := 50_000
	if testing.Short() {
		n = 5_000
	}
	policies := []choicePolicy{
		{name: "one owner", activeInstances: 1},
		{name: "own counts and peers", activeInstances: simInstances},
		{name: "two choices, 0.1 s", activeInstances: simInstances, reportInterval: 100 * time.Millisecond},
		{name: "two choices, 1 s", activeInstances: simInstances, reportInterval: time.Second},
	}
	scenarios := []scenario{
		{name: "plain", load: 0.8},
		{name: "plain", load: 0.9},
		{name: "instance killed", load: 0.8, killInstance: true},
		{name: "instance killed", load: 0.9, killInstance: true},
		{name: "owner overloaded", load: 0.9, splitOwner: true},
		{name: "endpoint slow", load: 0.8, slowEndpoint: true},
	}
	var out strings.Builder
	out.WriteString("scenario         load policy                  p50    p99 refused while-free   shed  waited-while-free\n")
	for _, sc := range scenarios {
		central := simulate(choicePolicy{singleQueue: true, activeInstances: 1}, sc, n)
		for i, policy := range policies {
			s := simulate(policy, sc, n)
			p50, p99 := s.latencyQuantile(0.5)/central.latencyQuantile(0.5), s.latencyQuantile(0.99)/central.latencyQuantile(0.99)
			fmt.Fprintf(&out, "%-16s %3.0f%% %-21s %6.2f %6.2f %7d %10d %6d %18d\n",
				sc.name, sc.load*100, policy.name, p50, p99, s.refused, s.refusedWhileFree, s.shedCount, s.waitedWhileFree)
			// After the owner's crash, requests wait until its counts have
			// expired, however many requests the run has.
			if i == 0 && (p99 > 1.1 && !sc.killInstance || s.refusedWhileFree > 250) {
				t.Errorf("%s at load %g: one owner has p99 %.2f (limit 1.1) and rejected %d requests while slots were free (limit 250)", sc.name, sc.load, p99, s.refusedWhileFree)
			}
			if i > 0 && s.refusedWhileFree < 500*n/100_000 {
				t.Errorf("%s at load %g: %s rejected only %d requests while slots were free, want at least %d", sc.name, sc.load, policy.name, s.refusedWhileFree, 500*n/100_000)
			}
		}
	}
	t.Log("\n" + out.String())
}

// BenchmarkChoose measures one choice among 12 endpoints.
func BenchmarkChoose(b *testing.B) {
	b.ReportAllocs()
	random := rand.New(rand.NewPCG(1, 1))
	candidates := make([]Candidate, simEndpoints)
	for i := range candidates {
		candidates[i] = Candidate{Slots: simSlots, OwnInFlight: savorystep.Slots(i % (simSlots + 1)), SameZone: i%2 == 0}
	}
	for b.Loop() {
		Choose(candidates, random.Uint64())
	}
}

// BenchmarkPick measures reserving and releasing a slot at an instance with 12
// endpoints for which 3 peers reported counts.
func BenchmarkPick(b *testing.B) {
	limits := Limits{}.withDefaults()
	clock := savorystep.SystemClock{}
	g := &group{limits: &limits, clock: clock}
	list := make([]savorystep.Endpoint, 0, simEndpoints)
	for i := range simEndpoints {
		list = append(list, savorystep.Endpoint{ID: savorystep.EndpointID(fmt.Sprint("e", i)), Slots: simSlots, State: savorystep.StateLive})
	}
	now := clock.Now()
	g.updateEndpoints(list, newTimebase(clock), now)
	for i, e := range g.endpoints {
		e.recordPeerCount(savorystep.InstanceID(fmt.Sprint("p", i%3)), 1, now, time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.mu.Lock()
		e := g.pick(now, &forwardOptions{})
		g.mu.Unlock()
		g.releaseSlot(e, time.Millisecond)
	}
}
