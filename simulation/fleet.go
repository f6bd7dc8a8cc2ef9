package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"savorystep"
)

// A fleet is a scenario while it runs.
type fleet struct {
	scenario  Scenario
	way       Policy
	time      timeline
	random    *rand.Rand
	instances []*instance
	upstreams []*upstream
	burst     float64
	result    *Result
	repeats   repeatLog
	shifts    shiftLog
}

// Run plays a scenario with a way to decide.
func Run(scenario Scenario, way Policy) *Result {
	f := &fleet{
		scenario: scenario, way: way, burst: 1,
		random: rand.New(rand.NewPCG(scenario.Seed, 1)), //nolint:gosec // A run must be repeatable.
	}
	f.result = newResult(&f.scenario, way)
	f.build()
	f.schedule()
	f.time.run()
	for _, u := range f.upstreams {
		f.result.MaxColdPerSecond = max(f.result.MaxColdPerSecond, u.mostCold)
		f.result.Wasted += u.wasted
	}
	f.result.MaxRegionShift = f.shifts.most()
	f.result.RetriesOverBound = f.repeats.over(scenario.Limits)
	return f.result
}

// now returns the virtual time as the decisions see it.
func (f *fleet) now() time.Time {
	return time.Unix(0, 0).Add(time.Hour + f.time.now)
}

// build makes the instances and the endpoints.
func (f *fleet) build() {
	place := func(region int) savorystep.Place {
		return savorystep.Place{Region: savorystep.Region(fmt.Sprint("region-", region)), Zone: savorystep.Zone(fmt.Sprint("zone-", region))}
	}
	for i := range f.scenario.Endpoints {
		// The endpoints of a region follow on each other, so that an event meets
		// whole regions first.
		region := i * f.scenario.Regions / f.scenario.Endpoints
		f.upstreams = append(f.upstreams, &upstream{
			Endpoint: savorystep.Endpoint{
				ID: savorystep.EndpointID(fmt.Sprint("endpoint-", i)), Service: service, Place: place(region),
				State: savorystep.StateLive, Slots: f.scenario.Slots, Address: savorystep.Address(fmt.Sprint("address-", i)), StartedAtMillis: 1,
			},
			region: region, scenario: &f.scenario, time: &f.time, random: f.random, slow: 1,
		})
	}
	for i := range f.scenario.Instances {
		made := &instance{place: place(i % f.scenario.Regions)}
		made.start(i, f.scenario.Limits)
		f.instances = append(f.instances, made)
		f.time.after(0, func() { f.follow(made) })
		f.time.after(0, func() { f.lookAround(made) })
	}
}

// schedule adds the arrivals and the events.
func (f *fleet) schedule() {
	for region := range f.scenario.Regions {
		f.time.after(0, func() { f.arrivals(region) })
	}
	for _, event := range f.scenario.Events {
		f.time.after(event.Start, func() { f.begin(event) })
	}
}

// isOver reports whether no more requests arrive.
func (f *fleet) isOver() bool {
	return f.time.now >= f.scenario.Duration
}

// follow reads the endpoint list for an instance again and again.
func (f *fleet) follow(i *instance) {
	f.readList(i)
	if !f.isOver() {
		f.time.after(listPeriod, func() { f.follow(i) })
	}
}

// readList reads the endpoint list for an instance.
func (f *fleet) readList(i *instance) {
	listed := make(map[savorystep.EndpointID]bool)
	for _, u := range f.upstreams {
		if u.down {
			continue
		}
		listed[u.ID] = true
		u.ReportSequence++
		entry := u.Endpoint
		entry.ColdRemaining = max(0, u.coldUntil-f.time.now)
		i.table.Put(f.now(), entry)
	}
	for _, id := range i.table.IDs() {
		if !listed[id] {
			i.table.Remove(f.now(), id)
		}
	}
}

// lookAround tells an instance which others run, again and again.
func (f *fleet) lookAround(i *instance) {
	var known []savorystep.InstanceID
	for _, other := range f.instances {
		if other == i || (!i.cut && !other.cut && !f.way.IgnoresPeers) {
			known = append(known, other.id)
		}
	}
	i.table.SetInstances(f.now(), known)
	if !f.isOver() {
		f.time.after(memberPeriod, func() { f.lookAround(i) })
	}
}

// arrivals draws the requests of a region.
func (f *fleet) arrivals(region int) {
	if f.isOver() {
		return
	}
	phase := float64(region) / float64(f.scenario.Regions)
	wave := 1 + f.scenario.RateSwing*math.Sin(2*math.Pi*(f.time.now.Seconds()/f.scenario.SwingPeriod.Seconds()+phase))
	rate := f.scenario.Rate / float64(f.scenario.Regions) * wave * f.burst
	pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.time.after(pause, func() {
		f.ask(region)
		f.arrivals(region)
	})
}

// ask begins a request of a caller.
func (f *fleet) ask(region int) {
	if f.isOver() {
		return
	}
	second := &f.result.Seconds[int(f.time.now/time.Second)]
	second.Requests++
	f.result.Requests++
	key := f.random.Uint64N(uint64(f.scenario.Objects))
	r := &request{
		fleet: f, region: region, began: f.time.now, deadline: f.time.now + f.scenario.Deadline,
		key: key * 0x9e3779b97f4a7c15, second: second, returns: 1,
	}
	if !f.way.Affinity {
		r.home = f.random.Uint64()
	} else {
		r.home = r.key
	}
	r.connect()
}

// begin lets an event begin.
func (f *fleet) begin(event Event) {
	instances := f.instances[:int(math.Ceil(event.Share*float64(len(f.instances))))]
	upstreams := f.upstreams[:int(math.Ceil(event.Share*float64(len(f.upstreams))))]
	switch event.Kind {
	case EventBurst:
		f.burst = event.Factor
	case EventCold:
		for _, u := range upstreams {
			u.chill(listPeriod)
		}
	case EventPartition:
		for _, i := range instances {
			i.cut = true
		}
	case EventDown:
		for _, u := range upstreams {
			u.fail()
		}
	case EventRestart:
		for n, i := range instances {
			i.start(n, f.scenario.Limits)
			i.cut = true
			f.readList(i)
			f.time.after(memberDelay, func() { i.cut = false })
		}
	case EventSlow:
		for _, u := range upstreams {
			u.slow = event.Factor
		}
	}
	if event.Duration > 0 {
		f.time.after(event.Duration, func() { f.end(event.Kind, instances, upstreams) })
	}
}

// end lets an event end.
func (f *fleet) end(kind EventKind, instances []*instance, upstreams []*upstream) {
	switch kind {
	case EventBurst:
		f.burst = 1
	case EventPartition:
		for _, i := range instances {
			i.cut = false
		}
	case EventDown:
		for _, u := range upstreams {
			u.down = false
			u.StartedAtMillis++
			u.ReportSequence = 0
			u.chill(0)
		}
	case EventSlow:
		for _, u := range upstreams {
			u.slow = 1
		}
	case EventCold, EventRestart:
	}
}

// wayTo returns the one-way time between a place and an endpoint.
func wayTo(from savorystep.Place, u *upstream) time.Duration {
	if from.Region == u.Place.Region {
		return nearWay
	}
	return farWay
}

// upstream returns an endpoint by its id.
func (f *fleet) upstream(id savorystep.EndpointID) *upstream {
	for _, u := range f.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}
