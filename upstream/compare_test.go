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
// arrivals at 10 entries, 12 endpoints with 3 slots and log-normal service
// times with 20 ms mean and sigma 0.5. All ways see the same requests.
const (
	simEntries   = 10
	simEndpoints = 12
	simSlots     = 3
	simMean      = 20 * time.Millisecond
	simSigma     = 0.5
	simQueue     = 4 * simEndpoints * simSlots
	simGossip    = 100 * time.Millisecond
	simSlow      = 5
	// simLine is how many requests wait at an endpoint before it sheds.
	simLine = 1
)

// A way is a way of choosing endpoints.
type way struct {
	name string
	// central is one queue for all endpoints.
	central bool
	// reports is the interval of load reports for two random choices, 0 for
	// choice by counts with Choose.
	reports time.Duration
	// owners is how many entries get the requests.
	owners int
}

// A trial is a situation to compare in.
type trial struct {
	name string
	load float64
	kill bool
	slow bool
	// split doubles the owners, as for an owner whose rate is too high.
	split bool
}

// A simRequest is a request of the model.
type simRequest struct {
	arrived  time.Duration
	service  time.Duration
	caller   int
	entry    int
	endpoint int
	epoch    int
	avoid    []int
	ended    bool
}

// An event is an arrival (epoch -1), an end of service or, without a request,
// a tick.
type event struct {
	at      time.Duration
	request *simRequest
	epoch   int
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// A sim is the state of the model.
type sim struct {
	way     way
	trial   trial
	random  *rand.Rand
	now     time.Duration
	events  events
	busy    [simEndpoints]int
	lines   [simEndpoints][]*simRequest
	reports [simEndpoints]int
	own     [simEntries][simEndpoints]savorystep.Slots
	heard   [simEntries][simEndpoints]peerCount
	health  [simEntries][simEndpoints]*Health
	queues  [simEntries][]*simRequest
	running map[*simRequest]bool
	dead    bool
	taken   []time.Duration
	// refused counts refusals, wasted those while a slot was free, idled the
	// requests that waited while a slot was free.
	refused, wasted, idled, sheds int
}

// simulate runs n requests and returns the end state.
func simulate(w way, tr trial, n int) *sim {
	s := &sim{way: w, trial: tr, random: rand.New(rand.NewPCG(2, 2)), running: map[*simRequest]bool{}}
	for entry := range simEntries {
		for i := range simEndpoints {
			s.health[entry][i] = NewHealth(HealthLimits{})
		}
	}
	if tr.split && w.owners == 1 {
		s.way.owners = 2
	}
	// Requests have a source of their own, so that all ways get the same.
	source := rand.New(rand.NewPCG(1, 1))
	rate := tr.load * simEndpoints * simSlots / float64(simMean)
	at := time.Duration(0)
	for range n {
		at += time.Duration(source.ExpFloat64() / rate)
		service := time.Duration(float64(simMean) * math.Exp(source.NormFloat64()*simSigma-simSigma*simSigma/2))
		s.events = append(s.events, event{at, &simRequest{arrived: at, service: service, caller: source.IntN(1000)}, -1})
	}
	for tick := time.Duration(0); tick < at; tick += simGossip {
		s.events = append(s.events, event{at: tick})
	}
	heap.Init(&s.events)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch {
		case e.request == nil:
			s.tick(at / 2)
		case e.epoch < 0:
			s.arrive(e.request)
		case e.epoch == e.request.epoch && !e.request.ended:
			s.complete(e.request)
		}
	}
	slices.Sort(s.taken)
	return s
}

// tick spreads counts and reports, and kills the first entry at half time.
func (s *sim) tick(half time.Duration) {
	if s.way.reports > 0 && s.now%s.way.reports == 0 {
		for i := range s.reports {
			s.reports[i] = s.busy[i] + len(s.lines[i])
		}
	}
	if s.trial.kill && !s.dead && s.now >= half {
		s.kill()
	}
	for entry := range simEntries {
		if s.dead && entry == 0 {
			continue
		}
		for i := range simEndpoints {
			s.heard[entry][i] = s.heard[entry][i].withReport(s.own[entry][i], simTime(s.now), simGossip)
		}
	}
	for entry := range simEntries {
		s.dispatch(entry)
	}
}

// kill ends the first entry. Its connections end, so its requests leave the
// endpoints, and its callers send them again through other entries.
func (s *sim) kill() {
	s.dead = true
	var again []*simRequest
	for r := range s.running {
		if r.entry == 0 {
			again = append(again, r)
		}
	}
	slices.SortFunc(again, func(a, b *simRequest) int { return int(a.arrived - b.arrived) })
	for _, r := range again {
		r.epoch++
		delete(s.running, r)
		line := s.lines[r.endpoint]
		if i := slices.Index(line, r); i >= 0 {
			s.lines[r.endpoint] = slices.Delete(line, i, i+1)
		} else {
			s.busy[r.endpoint]--
		}
	}
	again = append(again, s.queues[0]...)
	s.queues[0] = nil
	s.own[0] = [simEndpoints]savorystep.Slots{}
	for i := range simEndpoints {
		s.next(i)
	}
	for _, r := range again {
		s.arrive(r)
	}
}

// arrive gives a request to an entry.
func (s *sim) arrive(r *simRequest) {
	r.entry = r.caller % s.way.owners
	if s.dead && r.entry == 0 && !s.way.central {
		r.entry = 1 + r.caller/s.way.owners%max(1, s.way.owners-1)
	}
	switch {
	case s.way.reports > 0:
		s.send(r, s.twoChoices())
	case len(s.queues[r.entry]) == 0 && s.try(r):
	case len(s.queues[r.entry]) >= simQueue:
		s.refuse()
	default:
		s.queues[r.entry] = append(s.queues[r.entry], r)
		if s.anyFree() {
			s.idled++
		}
	}
}

// twoChoices chooses the less loaded of two random endpoints by their last
// reports.
func (s *sim) twoChoices() int {
	a, b := s.random.IntN(simEndpoints), s.random.IntN(simEndpoints)
	if s.reports[b] < s.reports[a] {
		return b
	}
	return a
}

// try sends a request if the entry knows a free slot.
func (s *sim) try(r *simRequest) bool {
	var candidates [simEndpoints]Candidate
	for i := range candidates {
		switch {
		case s.way.central:
			candidates[i] = Candidate{Slots: simSlots, OwnInFlight: savorystep.Slots(s.busy[i])}
		case !s.health[r.entry][i].Paused(simTime(s.now)) && !slices.Contains(r.avoid, i):
			candidates[i] = Candidate{Slots: simSlots, OwnInFlight: s.own[r.entry][i], PeersInFlight: s.peers(r.entry, i)}
		}
	}
	index := Choose(candidates[:], s.random.Uint64())
	if index < 0 {
		return false
	}
	s.send(r, index)
	return true
}

// simTime returns a virtual time as a time.
func simTime(at time.Duration) time.Time {
	return time.Unix(1, 0).Add(at)
}

// peers returns the expected counts of the other entries for an endpoint.
func (s *sim) peers(entry, endpoint int) float64 {
	sum := 0.0
	for other := range simEntries {
		if other != entry {
			sum += s.heard[other][endpoint].expectedAt(simTime(s.now), simMean, time.Second)
		}
	}
	return sum
}

// anyFree reports whether some endpoint has a free slot.
func (s *sim) anyFree() bool {
	return slices.ContainsFunc(s.busy[:], func(busy int) bool { return busy < simSlots })
}

// send puts a request into an endpoint's line.
func (s *sim) send(r *simRequest, endpoint int) {
	r.endpoint = endpoint
	if s.busy[endpoint] >= simSlots && s.anyFree() {
		s.idled++
	}
	if s.busy[endpoint] >= simSlots && len(s.lines[endpoint]) >= simLine {
		s.shed(r)
		return
	}
	s.own[r.entry][endpoint]++
	s.running[r] = true
	s.lines[endpoint] = append(s.lines[endpoint], r)
	s.next(endpoint)
}

// shed sends a request again after a round trip, up to the attempts of a
// Retrier.
func (s *sim) shed(r *simRequest) {
	s.sheds++
	r.avoid = append(r.avoid, r.endpoint)
	s.health[r.entry][r.endpoint].RecordShed(simTime(s.now))
	if len(r.avoid) < 3 {
		heap.Push(&s.events, event{s.now + 3*time.Millisecond, r, -1})
		return
	}
	s.refuse()
}

// refuse counts a refused request.
func (s *sim) refuse() {
	s.refused++
	if s.anyFree() {
		s.wasted++
	}
}

// next begins requests of an endpoint's line.
func (s *sim) next(endpoint int) {
	for s.busy[endpoint] < simSlots && len(s.lines[endpoint]) > 0 {
		r := s.lines[endpoint][0]
		s.lines[endpoint] = s.lines[endpoint][1:]
		s.busy[endpoint]++
		service := r.service
		if s.trial.slow && endpoint == 0 {
			service *= simSlow
		}
		heap.Push(&s.events, event{s.now + service, r, r.epoch})
	}
}

// complete ends a request.
func (s *sim) complete(r *simRequest) {
	r.ended = true
	delete(s.running, r)
	s.busy[r.endpoint]--
	s.own[r.entry][r.endpoint]--
	s.health[r.entry][r.endpoint].RecordSuccess(simTime(s.now))
	s.taken = append(s.taken, s.now-r.arrived)
	s.next(r.endpoint)
	s.dispatch(r.entry)
}

// dispatch sends waiting requests of an entry.
func (s *sim) dispatch(entry int) {
	for len(s.queues[entry]) > 0 && s.try(s.queues[entry][0]) {
		s.queues[entry] = s.queues[entry][1:]
	}
}

// quantile returns a quantile of the times taken.
func (s *sim) quantile(q float64) float64 {
	return float64(s.taken[min(len(s.taken)-1, int(q*float64(len(s.taken))))])
}

// TestCompareWays prints p50 and p99 of the ways as ratios to one central
// queue, and guards the figures that the design relies on: one owner is nearly
// as good as a central queue, and all other ways refuse many requests while
// slots are free, at the latest when a request was shed three times. The seed
// is fixed. Refused requests are not in the quantiles.
func TestCompareWays(t *testing.T) {
	n := 50_000
	if testing.Short() {
		n = 5_000
	}
	ways := []way{
		{name: "one owner", owners: 1},
		{name: "own counts and peers", owners: simEntries},
		{name: "two choices, 0.1 s", owners: simEntries, reports: 100 * time.Millisecond},
		{name: "two choices, 1 s", owners: simEntries, reports: time.Second},
	}
	trials := []trial{
		{name: "plain", load: 0.8},
		{name: "plain", load: 0.9},
		{name: "entry killed", load: 0.8, kill: true},
		{name: "entry killed", load: 0.9, kill: true},
		{name: "owner overloaded", load: 0.9, split: true},
		{name: "endpoint slow", load: 0.8, slow: true},
	}
	var out strings.Builder
	out.WriteString("trial            load way                     p50    p99 refused beside-free   shed waited-beside-free\n")
	for _, tr := range trials {
		central := simulate(way{central: true, owners: 1}, tr, n)
		for i, w := range ways {
			s := simulate(w, tr, n)
			p50, p99 := s.quantile(0.5)/central.quantile(0.5), s.quantile(0.99)/central.quantile(0.99)
			fmt.Fprintf(&out, "%-16s %3.0f%% %-21s %6.2f %6.2f %7d %11d %6d %18d\n",
				tr.name, tr.load*100, w.name, p50, p99, s.refused, s.wasted, s.sheds, s.idled)
			// After the death of the owner, requests wait until its counts
			// have faded, whatever the length of the run.
			if i == 0 && (p99 > 1.1 && !tr.kill || s.wasted > 250) {
				t.Errorf("%s at %g: one owner has p99 %.2f and refused %d requests beside free slots", tr.name, tr.load, p99, s.wasted)
			}
			if i > 0 && s.wasted < 500*n/100_000 {
				t.Errorf("%s at %g: %s refused only %d requests beside free slots", tr.name, tr.load, w.name, s.wasted)
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

// BenchmarkPick measures the whole choice of a slot at an entry with 12
// endpoints whose counts 3 peers reported, and giving it back.
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
