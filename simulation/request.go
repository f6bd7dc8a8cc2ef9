package simulation

import (
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// A request is one request of a caller on its way.
type request struct {
	fleet  *fleet
	region int
	// key names its object, home decides the order of endpoints.
	key, home       uint64
	began, deadline time.Duration
	second          *Second
	// returns is how often the caller comes back after a refusal.
	returns  int
	instance *instance
	tried    []savorystep.EndpointID
	arrived  int
	// ran is true if an endpoint may have run it.
	ran bool
}

// connect sends the request to a random instance of the caller's region.
func (r *request) connect() {
	f := r.fleet
	var near []*instance
	for i, candidate := range f.instances {
		if i%f.scenario.Regions == r.region {
			near = append(near, candidate)
		}
	}
	if len(near) == 0 {
		near = f.instances
	}
	r.instance = near[f.random.IntN(len(near))]
	r.tried, r.arrived = nil, 0
	r.instance.table.CountRequest(f.now(), service)
	f.repeats.requests = append(f.repeats.requests, f.time.now)
	r.send()
}

// send sends the request to an endpoint, or refuses it.
func (r *request) send() {
	f := r.fleet
	if f.time.now >= r.deadline {
		r.fail()
		return
	}
	if len(r.tried) >= maxTries {
		r.refuse()
		return
	}
	if r.arrived > 0 && !r.instance.table.AllowRetry(f.now(), service) {
		r.refuse()
		return
	}
	query := endpoint.Query{Service: service, AffinityKey: r.home, Local: r.instance.place, AttemptedEndpoints: r.tried}
	if f.way.RefusesLateRequests {
		query.TimeLeft = r.deadline - f.time.now
	}
	table := r.instance.table
	choice, ok := table.Choose(f.now(), query)
	if !ok {
		r.refuse()
		return
	}
	r.tried = append(r.tried, choice.Endpoint.ID)
	if r.arrived > 0 {
		f.repeats.repeats = append(f.repeats.repeats, f.time.now)
	}
	u := f.upstream(choice.Endpoint.ID)
	if len(r.tried) == 1 {
		f.shifts.add(f.time.now, f.scenario.Regions, r.region, u.region)
	}
	v := &visit{key: r.key, sent: f.time.now, deadline: r.deadline}
	v.end = func(outcome endpoint.Outcome, load endpoint.Load) {
		f.time.after(wayTo(r.instance.place, u), func() {
			told := &load
			if load.Slots == 0 {
				told = nil
			}
			table.Finish(f.now(), choice, outcome, told)
			r.settle(outcome)
		})
	}
	f.time.after(wayTo(r.instance.place, u), func() { u.arrive(v) })
}

// settle takes the outcome of one attempt.
func (r *request) settle(outcome endpoint.Outcome) {
	if outcome != endpoint.OutcomeConnectFailed {
		r.arrived++
	}
	switch outcome {
	case endpoint.OutcomeAnswered:
		r.answer()
	case endpoint.OutcomeTimedOut:
		r.fail()
	case endpoint.OutcomeBrokenResponse:
		r.ran = true
		r.send()
	default:
		r.send()
	}
}

// answer counts the request as answered.
func (r *request) answer() {
	result, took := r.fleet.result, r.fleet.time.now-r.began
	if err := result.Latencies.RecordValue(max(took.Microseconds(), lowestMicros)); err != nil {
		// Longer than the histogram holds.
		r.fail()
		return
	}
	if took <= r.fleet.scenario.TargetLatency {
		result.InTarget++
		r.second.InTarget++
		return
	}
	result.Late++
}

// fail counts the request as failed.
func (r *request) fail() {
	r.fleet.result.Failed++
}

// refuse tells the caller to come back, which it does in the first third of the
// time that it has left. A request that may have run is not refused.
func (r *request) refuse() {
	if r.ran {
		r.fail()
		return
	}
	f := r.fleet
	after := leastReturn + time.Duration(f.random.Int64N(int64(spreadReturn)))
	if r.returns == 0 || after > (r.deadline-f.time.now)/3 {
		f.result.Refused++
		r.second.Refused++
		return
	}
	r.returns--
	f.time.after(after, r.connect)
}
