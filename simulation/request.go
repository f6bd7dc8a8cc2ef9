package simulation

import (
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// A request is a request of a caller, over all its attempts.
type request struct {
	fleet  *fleet
	region int
	// key is the hash of its object. affinityKey is the key by which an endpoint is
	// chosen, a random one without affinity.
	key, affinityKey    uint64
	startedAt, deadline time.Duration
	second              *Second
	// callerRetries is how often the caller still sends it again after a refusal.
	callerRetries int
	instance      *instance
	// receivedAt is when it was sent to the instance.
	receivedAt time.Duration
	attempted  []savorystep.EndpointID
	// received counts the attempts for which a connection was opened.
	received int
	// mayHaveRun is true if an endpoint may have run the request.
	mayHaveRun bool
}

// sendToInstance sends the request to a random instance in the region of the
// caller, or to any instance if the region has none. It is refused if all are stopping.
func (r *request) sendToInstance() {
	f := r.fleet
	var candidates, all []*instance
	for i, candidate := range f.instances {
		if candidate.isStopping {
			continue
		}
		all = append(all, candidate)
		if i%f.scenario.Regions == r.region {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		candidates = all
	}
	if len(candidates) == 0 {
		f.result.Refused++
		r.second.Refused++
		return
	}
	r.instance = candidates[f.random.IntN(len(candidates))]
	r.attempted, r.received, r.receivedAt = nil, 0, f.scheduler.now
	r.instance.table.CountRequest(f.now(), service)
	f.retries.requests = append(f.retries.requests, f.scheduler.now)
	r.sendToEndpoint()
}

// sendToEndpoint sends the request to an endpoint. It refuses the request if the
// attempts or the retry budget are used up or if no endpoint can take it.
func (r *request) sendToEndpoint() {
	f := r.fleet
	if frozen := r.instance.frozenUntil - f.scheduler.now; frozen > 0 {
		f.scheduler.after(frozen, r.sendToEndpoint)
		return
	}
	if f.scheduler.now >= r.deadline {
		r.fail()
		return
	}
	if len(r.attempted) >= maxAttempts {
		r.refuse()
		return
	}
	if r.received > 0 && !r.instance.table.AllowRetry(f.now(), service) {
		r.refuse()
		return
	}
	query := endpoint.Query{Service: service, AffinityKey: r.affinityKey, Local: r.instance.place, PreferLocal: f.scenario.HasLargeBodies, AttemptedEndpoints: r.attempted}
	if f.policy.RefusesLateRequests {
		query.TimeLeft = r.deadline - f.scheduler.now
	}
	table := r.instance.table
	if !f.policy.IgnoresStandstills {
		table.Tick(f.now(), f.now())
	}
	choice, ok := table.Choose(f.now(), query)
	if !ok {
		r.refuse()
		return
	}
	r.attempted = append(r.attempted, choice.Endpoint.ID)
	if r.received > 0 {
		f.retries.retries = append(f.retries.retries, f.scheduler.now)
	}
	e := f.endpoint(choice.Endpoint.ID)
	if len(r.attempted) == 1 {
		f.regionShifts.add(f.scheduler.now, f.scenario.Regions, r.region, e.region)
	}
	from := r.instance
	a := &attempt{key: r.key, from: from, receivedAt: r.receivedAt, sentAt: f.scheduler.now, deadline: r.deadline}
	a.finish = func(outcome endpoint.Outcome, load endpoint.Load) {
		statement, isStated := e.stateRateLimit(outcome)
		notice := e.says(outcome)
		f.scheduler.after(from.delay(f.scheduler.now, networkDelay(from.place, e)), func() {
			if isStated {
				report := table.RecordRateLimit(f.now(), choice, statement)
				f.shareRateLimit(from, choice.Endpoint, report)
				e.rateLimit.markTold(f.scheduler.now, from, statement)
			}
			f.giveNotice(from, e, choice, notice)
			reported := &load
			if load.Slots == 0 {
				reported = nil
			}
			table.Finish(f.now(), choice, outcome, reported)
			f.checkEnding(from, e, choice, outcome)
			r.finishAttempt(outcome)
		})
	}
	f.scheduler.after(networkDelay(from.place, e), func() { e.receive(a) })
}

// finishAttempt finishes the request according to the outcome of an attempt, or
// sends it to another endpoint.
func (r *request) finishAttempt(outcome endpoint.Outcome) {
	if outcome != endpoint.OutcomeConnectFailed {
		r.received++
	}
	switch outcome {
	case endpoint.OutcomeAnswered:
		r.succeed()
	case endpoint.OutcomeTimedOut:
		r.fail()
	case endpoint.OutcomeBrokenResponse:
		r.mayHaveRun = true
		r.sendToEndpoint()
	default:
		r.sendToEndpoint()
	}
}

// succeed counts the request as answered, in target or late. It counts as failed
// if its latency exceeds the range of the histogram.
func (r *request) succeed() {
	result, latency := r.fleet.result, r.fleet.scheduler.now-r.startedAt
	if err := result.Latencies.RecordValue(max(latency.Microseconds(), minLatencyMicros)); err != nil {
		r.fail()
		return
	}
	if latency <= r.fleet.scenario.TargetLatency {
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

// refuse refuses the request. The caller sends it again after a random time, but
// only if that is at most a third of the time until the deadline. A request that
// may have run is not refused, it counts as failed.
func (r *request) refuse() {
	if r.mayHaveRun {
		r.fail()
		return
	}
	f := r.fleet
	retryAfter := minRetryAfter + time.Duration(f.random.Int64N(int64(retryAfterSpread)))
	if r.callerRetries == 0 || retryAfter > (r.deadline-f.scheduler.now)/3 {
		f.result.Refused++
		r.second.Refused++
		return
	}
	r.callerRetries--
	f.scheduler.after(retryAfter, r.sendToInstance)
}
