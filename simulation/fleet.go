package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// A fleet is the state of a scenario while it runs.
type fleet struct {
	scenario  Scenario
	policy    Policy
	scheduler scheduler
	random    *rand.Rand
	instances []*instance
	endpoints []*simulatedEndpoint
	// rateFactor multiplies the request rate, 1 without a burst.
	rateFactor   float64
	result       *Result
	retries      retryLog
	regionShifts regionShiftLog
}

// Run runs a scenario with a policy and returns its result.
func Run(scenario Scenario, policy Policy) *Result {
	f := &fleet{
		scenario: scenario, policy: policy, rateFactor: 1,
		random: rand.New(rand.NewPCG(scenario.Seed, 1)), //nolint:gosec // A run must be repeatable.
	}
	f.result = newResult(&f.scenario, policy)
	f.build()
	f.schedule()
	f.scheduler.run()
	for _, e := range f.endpoints {
		f.result.MaxColdPerSecond = max(f.result.MaxColdPerSecond, e.maxColdPerSecond)
		f.result.Wasted += e.wastedWork
		if e.rateLimit.windows > 0 {
			f.result.RateLimitExcess = max(f.result.RateLimitExcess, e.rateLimit.maxExcess)
			f.result.RateLimitWindows += e.rateLimit.windows
		}
		f.result.RequestsAfterLeaving += e.notices.afterLeaving
		f.result.RequestsWhileClosed += e.notices.whileClosed
		if !e.rateLimit.wasLimited() {
			f.result.Sheds += e.sheds
		}
	}
	f.result.MaxRegionShift = f.regionShifts.maxShift()
	f.result.RetriesOverBound = f.retries.maxOverBound(scenario.Limits)
	return f.result
}

// now returns the virtual time for package endpoint. It starts at one hour after
// the Unix epoch.
func (f *fleet) now() time.Time {
	return time.Unix(0, 0).Add(time.Hour + f.scheduler.now)
}

// build creates the instances and the endpoints.
func (f *fleet) build() {
	place := func(region int) savorystep.Place {
		return savorystep.Place{Region: savorystep.Region(fmt.Sprint("region-", region)), Zone: savorystep.Zone(fmt.Sprint("zone-", region))}
	}
	for i := range f.scenario.Endpoints {
		// The endpoints of a region are adjacent, so that an event for a share of the
		// endpoints affects whole regions first.
		region := i * f.scenario.Regions / f.scenario.Endpoints
		f.endpoints = append(f.endpoints, &simulatedEndpoint{
			Endpoint: savorystep.Endpoint{
				ID: savorystep.EndpointID(fmt.Sprint("endpoint-", i)), Service: service, Place: place(region),
				State: savorystep.StateLive, Slots: f.scenario.Slots, Address: savorystep.Address(fmt.Sprint("address-", i)), StartedAtMillis: 1,
			},
			region: region, scenario: &f.scenario, scheduler: &f.scheduler, random: f.random, slowFactor: 1, running: make(map[*attempt]bool),
		})
	}
	for i := range f.scenario.Instances {
		created := &instance{place: place(i % f.scenario.Regions)}
		created.start(i, f.scenario.Limits)
		f.instances = append(f.instances, created)
		f.scheduler.after(0, func() { f.pollEndpointList(created) })
		f.scheduler.after(0, func() { f.pollMembership(created) })
	}
}

// schedule schedules the requests and the events.
func (f *fleet) schedule() {
	for region := range f.scenario.Regions {
		f.scheduler.after(0, func() { f.scheduleArrival(region) })
	}
	for _, event := range f.scenario.Events {
		f.scheduler.after(event.Start, func() { f.startEvent(event) })
	}
}

// isOver reports whether no more requests arrive.
func (f *fleet) isOver() bool {
	return f.scheduler.now >= f.scenario.Duration
}

// pollEndpointList reads the endpoint list for an instance now and then
// periodically.
func (f *fleet) pollEndpointList(i *instance) {
	if i.frozenUntil <= f.scheduler.now {
		i.table.SetListFailing(f.now(), i.staleList != nil)
		f.readEndpointList(i)
	}
	if !f.isOver() {
		f.scheduler.after(listPeriod, func() { f.pollEndpointList(i) })
	}
}

// listEndpoints returns the endpoint list, in which each endpoint has a new report.
func (f *fleet) listEndpoints() []savorystep.Endpoint {
	list := make([]savorystep.Endpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		if !e.isListed() {
			continue
		}
		if !e.isDown {
			e.ReportSequence++
		}
		entry := e.Endpoint
		entry.ColdRemaining = max(0, e.warmAt-f.scheduler.now)
		list = append(list, entry)
	}
	return list
}

// readEndpointList updates the table of an instance to the endpoint list. During an
// outage, only an instance that has no list yet reads one.
func (f *fleet) readEndpointList(i *instance) {
	list := i.staleList
	if list == nil {
		list = f.listEndpoints()
	} else if len(i.table.IDs()) > 0 {
		return
	}
	listed := make(map[savorystep.EndpointID]bool)
	for _, entry := range list {
		listed[entry.ID] = true
		i.table.Put(f.now(), entry)
	}
	for _, id := range i.table.IDs() {
		if !listed[id] {
			i.table.Remove(f.now(), id)
		}
	}
	i.table.ListRead(f.now())
}

// pollMembership sets the other instances that an instance sees, now and then
// periodically.
func (f *fleet) pollMembership(i *instance) {
	var visible []savorystep.InstanceID
	for _, other := range f.instances {
		if other == i || (f.isConnected(i, other) && !f.policy.IgnoresPeers) {
			visible = append(visible, other.id)
		}
	}
	if i.frozenUntil <= f.scheduler.now {
		if !f.policy.IgnoresStandstills {
			i.table.Tick(f.now(), f.now())
		}
		i.table.SetInstances(f.now(), visible)
		f.checkDueWarmups(i)
	}
	if !f.isOver() {
		f.scheduler.after(membershipPeriod, func() { f.pollMembership(i) })
	}
}

// isConnected reports whether two instances see each other. A frozen or stopping
// instance counts as partitioned.
func (f *fleet) isConnected(i, other *instance) bool {
	now := f.scheduler.now
	return !i.isStopping && !other.isStopping && !i.isPartitioned && !other.isPartitioned && i.frozenUntil <= now && other.frozenUntil <= now
}

// shareRateLimit sends what an endpoint stated to an instance to the others, if they
// are due to hear of it.
func (f *fleet) shareRateLimit(from *instance, target savorystep.Endpoint, report endpoint.RateLimitReport) {
	if !report.IsDue || f.policy.IgnoresPeers {
		return
	}
	for _, other := range f.instances {
		if other == from || !f.isConnected(from, other) {
			continue
		}
		f.scheduler.after(factDelay, func() {
			other.table.ApplyRateLimit(f.now(), target.ID, target.StartedAtMillis, report.Statement)
		})
	}
}

// giveNotice hands what a response says about further requests to the instance that
// gets it, and to the others what concerns them.
func (f *fleet) giveNotice(to *instance, e *simulatedEndpoint, choice endpoint.Choice, notice savorystep.EndpointNotice) {
	if notice.RetryAfter > 0 {
		f.result.Closings++
		if !f.policy.IgnoresNotices {
			to.table.RecordRetryAfter(f.now(), choice, notice.RetryAfter)
		}
	}
	if !notice.IsLeaving || choice.Endpoint.StartedAtMillis != e.StartedAtMillis {
		return
	}
	f.result.LeavingTold++
	e.notices.markLeaving(f.scheduler.now, to)
	if f.policy.IgnoresNotices || !to.table.RecordLeaving(f.now(), choice) {
		return
	}
	for _, other := range f.instances {
		if other != to && f.isConnected(to, other) && !f.policy.IgnoresPeers {
			f.scheduler.after(factDelay, func() {
				other.table.ApplyLeaving(f.now(), choice.Endpoint.ID, choice.Endpoint.StartedAtMillis)
			})
		}
	}
}

// checkEnding lets an instance find out whether an endpoint has ended after an attempt got
// no response: at once if no connection could be opened, else by opening another one and
// asking for its warm-up. It tells the others if they are to be told.
func (f *fleet) checkEnding(from *instance, e *simulatedEndpoint, choice endpoint.Choice, outcome endpoint.Outcome) {
	var delay time.Duration
	switch outcome {
	case endpoint.OutcomeConnectFailed:
	case endpoint.OutcomeBrokenResponse:
		delay = networkDelay(from.place, e)
	default:
		return
	}
	f.scheduler.after(delay, func() {
		if !e.isDown && delay > 0 {
			f.scheduler.after(from.delay(f.scheduler.now, delay), func() { f.checkWarmup(from, e, choice.Endpoint) })
			return
		}
		f.scheduler.after(from.delay(f.scheduler.now, delay), func() {
			if !f.policy.IgnoresEndings && from.table.RecordEnded(f.now(), choice.Endpoint) {
				f.shareEnding(from, choice.Endpoint)
			}
		})
	})
}

// checkWarmup lets an instance ask an endpoint for how long it is cold.
func (f *fleet) checkWarmup(from *instance, e *simulatedEndpoint, target savorystep.Endpoint) {
	if f.policy.IgnoresEndings || f.policy.IgnoresWarmups || !from.table.NeedsWarmupCheck(f.now(), target) {
		return
	}
	delay := networkDelay(from.place, e)
	f.scheduler.after(delay, func() {
		if e.isDown {
			return
		}
		remaining := e.warmAt - f.scheduler.now
		f.scheduler.after(from.delay(f.scheduler.now, delay), func() {
			if remaining <= 0 {
				from.table.RecordWarm(f.now(), target)
			} else if from.table.RecordCold(f.now(), target, remaining) {
				f.shareEnding(from, target)
			}
		})
	})
}

// checkDueWarmups lets an instance ask the endpoints whose warm-up is over.
func (f *fleet) checkDueWarmups(from *instance) {
	for _, due := range from.table.DueWarmupChecks(f.now()) {
		f.checkWarmup(from, f.endpoint(due.ID), due)
	}
}

// shareEnding tells the other instances that an endpoint has ended.
func (f *fleet) shareEnding(from *instance, ended savorystep.Endpoint) {
	if f.policy.IgnoresPeers {
		return
	}
	for _, other := range f.instances {
		if other == from || other.isStopping || other.isPartitioned || from.isPartitioned {
			continue
		}
		// One that stands still hears of it when its peers have connected to it again.
		delay := factDelay
		if other.frozenUntil > f.scheduler.now {
			delay = other.frozenUntil - f.scheduler.now + reconnectDelay
		}
		f.scheduler.after(delay, func() { other.table.ApplyEnded(f.now(), ended.ID, ended.StartedAtMillis, 0) })
	}
}

// scheduleArrival schedules the next request of a region, and that one schedules
// its successor. Arrivals are a Poisson process whose rate follows a sine wave with
// another phase in each region.
func (f *fleet) scheduleArrival(region int) {
	if f.isOver() {
		return
	}
	phase := float64(region) / float64(f.scenario.Regions)
	wave := 1 + f.scenario.RateSwing*math.Sin(2*math.Pi*(f.scheduler.now.Seconds()/f.scenario.SwingPeriod.Seconds()+phase))
	rate := f.scenario.Rate / float64(f.scenario.Regions) * wave * f.rateFactor
	interval := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.scheduler.after(interval, func() {
		f.startRequest(region)
		f.scheduleArrival(region)
	})
}

// startRequest starts a request of a caller in a region for a random object.
func (f *fleet) startRequest(region int) {
	if f.isOver() {
		return
	}
	second := &f.result.Seconds[int(f.scheduler.now/time.Second)]
	second.Requests++
	f.result.Requests++
	key := f.random.Uint64N(uint64(f.scenario.Objects))
	r := &request{
		fleet: f, region: region, startedAt: f.scheduler.now, deadline: f.scheduler.now + f.scenario.Deadline,
		key: key * 0x9e3779b97f4a7c15, second: second, callerRetries: 1,
	}
	if !f.policy.Affinity {
		r.affinityKey = f.random.Uint64()
	} else {
		r.affinityKey = r.key
	}
	r.sendToInstance()
}

// networkDelay returns the one-way delay between a place and an endpoint.
func networkDelay(from savorystep.Place, e *simulatedEndpoint) time.Duration {
	if from.Region == e.Place.Region {
		return sameRegionDelay
	}
	return otherRegionDelay
}

// endpoint returns the endpoint with an id, or nil.
func (f *fleet) endpoint(id savorystep.EndpointID) *simulatedEndpoint {
	for _, e := range f.endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}
