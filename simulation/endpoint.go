package simulation

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// workSpread is the largest relative difference between the work of a request and
// the mean.
const workSpread = 0.3

// A simulatedEndpoint is an endpoint with slots, a queue, a cache of objects and a
// warm-up.
type simulatedEndpoint struct {
	savorystep.Endpoint
	// region is the index of its region.
	region    int
	scenario  *Scenario
	scheduler *scheduler
	random    *rand.Rand
	// wastedWork is the time spent running requests that then timed out.
	wastedWork time.Duration

	// sheds counts the requests that found the queue full.
	sheds int
	// running holds the attempts that occupy a slot.
	running map[*attempt]bool
	queue   []*attempt
	// cached holds the keys of the cached objects, the least recently used first.
	cached []uint64
	// slowFactor multiplies the work of requests, 1 normally.
	slowFactor float64
	isDown     bool
	// entryUntil is until when it stays in the endpoint list although it is down.
	entryUntil time.Duration
	warmAt     time.Duration
	// coldKnownAt is when all instances have read that it is cold.
	coldKnownAt time.Duration
	// isUnlisted is true while it is missing from the endpoint list although it runs.
	isUnlisted bool
	// failShare is the fraction of the requests that it answers with an error.
	failShare float64
	// rateLimit is the rate limit that it states, with the requests that it got.
	rateLimit rateLimitLog
	// isLeaving is true while its responses say that it leaves.
	isLeaving bool
	notices   noticeLog
	// retryAfter is positive while it rejects all requests and wants none for so long.
	retryAfter time.Duration
	// coldArrivals holds the times of requests that were received while cold, in the
	// last second.
	coldArrivals []time.Duration
	// maxColdPerSecond is the highest number of requests in a second while cold.
	maxColdPerSecond int
}

// An attempt is a request that was sent to an endpoint.
type attempt struct {
	key uint64
	// from is the instance that sent it.
	from *instance
	// receivedAt is when the caller sent it to the instance.
	receivedAt time.Duration
	// sentAt is when the instance sent it. The caller waits until the deadline.
	sentAt, deadline time.Duration
	// finish is called once with the outcome and the reported load.
	finish func(endpoint.Outcome, endpoint.Load)
}

// load returns the load that the endpoint reports.
func (e *simulatedEndpoint) load() endpoint.Load {
	return endpoint.Load{Running: len(e.running), Queued: len(e.queue), Slots: int(e.Slots)}
}

// stateRateLimit returns what the response with an outcome says about the rate limit.
// It returns false if there is no response, or one that was not signed and says
// nothing about a limit.
func (e *simulatedEndpoint) stateRateLimit(outcome endpoint.Outcome) (endpoint.RateLimitStatement, bool) {
	statement := e.rateLimit.statement()
	switch outcome {
	case endpoint.OutcomeAnswered, endpoint.OutcomeFailed:
		return statement, true
	case endpoint.OutcomeShed:
		return statement, statement.IsLimited
	default:
		return statement, false
	}
}

// says returns what the response with an outcome says about further requests.
func (e *simulatedEndpoint) says(outcome endpoint.Outcome) savorystep.EndpointNotice {
	switch outcome {
	case endpoint.OutcomeShed:
		return savorystep.EndpointNotice{IsLeaving: e.isLeaving, RetryAfter: e.retryAfter}
	case endpoint.OutcomeAnswered, endpoint.OutcomeFailed:
		return savorystep.EndpointNotice{IsLeaving: e.isLeaving}
	default:
		return savorystep.EndpointNotice{}
	}
}

// receive runs, queues or sheds a request.
func (e *simulatedEndpoint) receive(a *attempt) {
	now := e.scheduler.now
	if e.isDown {
		a.finish(endpoint.OutcomeConnectFailed, endpoint.Load{})
		return
	}
	if now < e.warmAt {
		e.countCold(a.sentAt, now)
	}
	e.rateLimit.addArrival(now, a.from)
	e.notices.addArrival(now, a.from, a.receivedAt)
	switch {
	case e.retryAfter > 0:
		e.notices.addClosing(now, a.from, e.retryAfter)
		a.finish(endpoint.OutcomeShed, e.load())
	case len(e.running) < int(e.Slots):
		e.run(a)
	case float64(len(e.queue)) < e.scenario.QueuePerSlot*float64(e.Slots):
		e.queue = append(e.queue, a)
	default:
		e.sheds++
		a.finish(endpoint.OutcomeShed, e.load())
	}
}

// countCold counts a request to the cold endpoint. Requests that were sent before
// the instances could know that it is cold do not count: in a trace of 20 requests
// in a second, all of them were sent within one list period after the endpoint
// became cold.
func (e *simulatedEndpoint) countCold(sentAt, now time.Duration) {
	if now-sentAt >= time.Second || sentAt < e.coldKnownAt {
		return
	}
	e.coldArrivals = append(e.coldArrivals, now)
	for now-e.coldArrivals[0] >= time.Second {
		e.coldArrivals = e.coldArrivals[1:]
	}
	e.maxColdPerSecond = max(e.maxColdPerSecond, len(e.coldArrivals))
}

// run runs a request in a free slot.
func (e *simulatedEndpoint) run(a *attempt) {
	e.running[a] = true
	work := e.work(a.key)
	outcome := endpoint.OutcomeAnswered
	if left := a.deadline - e.scheduler.now; work > left {
		// The caller cancels the request at the deadline, which ends the work.
		work, outcome = max(left, 0), endpoint.OutcomeTimedOut
		e.wastedWork += work
	} else if e.failShare > 0 && e.random.Float64() < e.failShare {
		outcome = endpoint.OutcomeFailed
	}
	e.scheduler.after(work, func() {
		if !e.running[a] {
			return
		}
		delete(e.running, a)
		if e.isDown {
			outcome = endpoint.OutcomeBrokenResponse
		}
		load := e.load()
		e.runQueued()
		a.finish(outcome, load)
	})
}

// runQueued runs queued requests in free slots. It drops those whose deadline has
// passed.
func (e *simulatedEndpoint) runQueued() {
	for len(e.queue) > 0 && len(e.running) < int(e.Slots) {
		a := e.queue[0]
		e.queue = e.queue[1:]
		if e.scheduler.now >= a.deadline {
			a.finish(endpoint.OutcomeTimedOut, e.load())
			continue
		}
		e.run(a)
	}
}

// work returns how long a request for an object takes, and caches the object.
func (e *simulatedEndpoint) work(key uint64) time.Duration {
	share := 1.0
	for i, cached := range e.cached {
		if cached == key {
			share = e.scenario.CachedWorkShare
			e.cached = append(e.cached[:i], e.cached[i+1:]...)
			break
		}
	}
	e.cached = append(e.cached, key)
	if len(e.cached) > e.scenario.CacheSize {
		e.cached = e.cached[1:]
	}
	spread := 1 + workSpread*(2*e.random.Float64()-1)
	return time.Duration(float64(e.scenario.MeanWork) * share * spread * e.slowFactor)
}

// becomeCold empties the cache and starts a warm-up. All instances know of it after
// a delay.
func (e *simulatedEndpoint) becomeCold(delay time.Duration) {
	e.cached = nil
	e.warmAt, e.coldKnownAt = e.scheduler.now+warmup, e.scheduler.now+delay
	e.coldArrivals = nil
}

// goDown stops the endpoint. Queued requests end at once with a broken response,
// running ones when their work ends if the endpoint is still down then.
func (e *simulatedEndpoint) goDown() {
	e.isDown = true
	e.rateLimit.end(e.scheduler.now)
	e.isLeaving, e.notices.leavingTold, e.notices.closings = false, nil, nil
	queue := e.queue
	e.queue = nil
	for _, a := range queue {
		a.finish(endpoint.OutcomeBrokenResponse, endpoint.Load{})
	}
}

// entryTTL is how long the endpoint list keeps the entry of an endpoint that reports no
// more: three report intervals of 1.5 s.
const entryTTL = 4500 * time.Millisecond

// crash ends the endpoint without notice.
func (e *simulatedEndpoint) crash() {
	e.goDown()
	e.entryUntil = e.scheduler.now + entryTTL
	broken := slices.SortedFunc(maps.Keys(e.running), func(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) })
	clear(e.running)
	for _, a := range broken {
		a.finish(endpoint.OutcomeBrokenResponse, endpoint.Load{})
	}
}

// isListed reports whether the endpoint list has an entry of it.
func (e *simulatedEndpoint) isListed() bool {
	return !e.isUnlisted && (!e.isDown || e.scheduler.now < e.entryUntil)
}
