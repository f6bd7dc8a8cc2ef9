package simulation

import (
	"math/rand/v2"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// workSpread is the largest relative difference of a request's work from the
// mean.
const workSpread = 0.3

// An upstream is one endpoint: slots, a queue, kept objects and a warm-up.
type upstream struct {
	savorystep.Endpoint
	// region is the number of its region.
	region   int
	scenario *Scenario
	time     *timeline
	random   *rand.Rand
	// wasted adds up work that ended without an answer.
	wasted time.Duration

	running int
	waiting []*visit
	// kept are the objects that it keeps, the one used last at the end.
	kept      []uint64
	slow      float64
	down      bool
	coldUntil time.Duration
	// told is when all instances have read that it is cold.
	told time.Duration
	// coldArrivals are the times of requests while cold, the last second's only.
	coldArrivals []time.Duration
	// mostCold is the most requests in a second while cold.
	mostCold int
}

// A visit is a request at an endpoint.
type visit struct {
	key uint64
	// sent is when the instance sent it, deadline when its caller leaves.
	sent, deadline time.Duration
	// end is called once with the outcome.
	end func(endpoint.Outcome, endpoint.Load)
}

// load returns what the endpoint tells of its load.
func (u *upstream) load() endpoint.Load {
	return endpoint.Load{Running: u.running, Queued: len(u.waiting), Slots: int(u.Slots)}
}

// arrive takes a request that an instance sent.
func (u *upstream) arrive(v *visit) {
	now := u.time.now
	if u.down {
		v.end(endpoint.OutcomeConnectFailed, endpoint.Load{})
		return
	}
	if now < u.coldUntil {
		u.countCold(v.sent, now)
	}
	switch {
	case u.running < int(u.Slots):
		u.start(v)
	case float64(len(u.waiting)) < u.scenario.QueuePerSlot*float64(u.Slots):
		u.waiting = append(u.waiting, v)
	default:
		v.end(endpoint.OutcomeShed, u.load())
	}
}

// countCold counts a request that was sent and arrived within the same second.
// Requests that were sent before anybody could know are not counted: a trace of
// 20 requests in a second showed them all within one list period of the moment
// at which the endpoint became cold.
func (u *upstream) countCold(sent, now time.Duration) {
	if now-sent >= time.Second || sent < u.told {
		return
	}
	u.coldArrivals = append(u.coldArrivals, now)
	for now-u.coldArrivals[0] >= time.Second {
		u.coldArrivals = u.coldArrivals[1:]
	}
	u.mostCold = max(u.mostCold, len(u.coldArrivals))
}

// start runs a request.
func (u *upstream) start(v *visit) {
	u.running++
	work := u.work(v.key)
	outcome := endpoint.OutcomeAnswered
	if left := v.deadline - u.time.now; work > left {
		// The caller leaves and the work ends with it.
		work, outcome = max(left, 0), endpoint.OutcomeTimedOut
		u.wasted += work
	}
	u.time.after(work, func() {
		u.running--
		if u.down {
			outcome = endpoint.OutcomeBrokenResponse
		}
		load := u.load()
		u.next()
		v.end(outcome, load)
	})
}

// next starts the next request that somebody still waits for.
func (u *upstream) next() {
	for len(u.waiting) > 0 && u.running < int(u.Slots) {
		v := u.waiting[0]
		u.waiting = u.waiting[1:]
		if u.time.now >= v.deadline {
			v.end(endpoint.OutcomeTimedOut, u.load())
			continue
		}
		u.start(v)
	}
}

// work returns how long a request takes, and keeps its object.
func (u *upstream) work(key uint64) time.Duration {
	share := 1.0
	for i, kept := range u.kept {
		if kept == key {
			share = u.scenario.CachedWorkShare
			u.kept = append(u.kept[:i], u.kept[i+1:]...)
			break
		}
	}
	u.kept = append(u.kept, key)
	if len(u.kept) > u.scenario.CacheSize {
		u.kept = u.kept[1:]
	}
	spread := 1 + workSpread*(2*u.random.Float64()-1)
	return time.Duration(float64(u.scenario.MeanWork) * share * spread * u.slow)
}

// chill makes the endpoint cold. Instances know of it after notice.
func (u *upstream) chill(notice time.Duration) {
	u.kept = nil
	u.coldUntil, u.told = u.time.now+warmup, u.time.now+notice
	u.coldArrivals = nil
}

// fail ends all requests at the endpoint.
func (u *upstream) fail() {
	u.down = true
	waiting := u.waiting
	u.waiting = nil
	for _, v := range waiting {
		v.end(endpoint.OutcomeBrokenResponse, endpoint.Load{})
	}
}
