package simulation

import (
	"slices"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// The rule of the users' platform: from rateLimitContact after an endpoint stated a
// rate limit, it gets in no rateLimitWindow more than rateLimitFactor times what the
// limit allows plus rateLimitSlack requests, from the instances that had been told
// rateLimitNotice before or earlier.
const (
	rateLimitContact = 4 * time.Second
	rateLimitWindow  = 4 * time.Second
	rateLimitNotice  = 500 * time.Millisecond
	rateLimitFactor  = 1.5
	rateLimitSlack   = 5
)

// A rateLimitLog holds the rate limits that an endpoint stated and the requests that
// it got, and checks the rule for each request.
type rateLimitLog struct {
	// changes are the statements in ascending order of time.
	changes  []rateLimitChange
	arrivals []rateLimitArrival
	// toldAt maps the instances that got a response with a limit to the time of the
	// first one since their start.
	toldAt map[*instance]time.Duration
	// maxExcess is the highest number of requests beyond the bound, and windows the
	// number of windows that were checked.
	maxExcess float64
	windows   int
}

// A rateLimitChange is what an endpoint states from a time on.
type rateLimitChange struct {
	at        time.Duration
	statement endpoint.RateLimitStatement
}

// A rateLimitArrival is a request from an instance.
type rateLimitArrival struct {
	at   time.Duration
	from *instance
}

// set makes the endpoint state a limit.
func (l *rateLimitLog) set(now time.Duration, rate savorystep.RequestsPerSecond) {
	if l.toldAt == nil {
		l.toldAt = make(map[*instance]time.Duration)
	}
	l.changes = append(l.changes, rateLimitChange{at: now, statement: endpoint.RateLimitStatement{IsLimited: true, Rate: rate}})
}

// end makes the endpoint state no limit.
func (l *rateLimitLog) end(now time.Duration) {
	if l.statement().IsLimited {
		l.changes = append(l.changes, rateLimitChange{at: now})
	}
}

// statement returns what the endpoint states at present.
func (l *rateLimitLog) statement() endpoint.RateLimitStatement {
	if len(l.changes) == 0 {
		return endpoint.RateLimitStatement{}
	}
	return l.changes[len(l.changes)-1].statement
}

// wasLimited reports whether the endpoint has ever stated a limit.
func (l *rateLimitLog) wasLimited() bool {
	return len(l.changes) > 0
}

// markTold records that a response with a statement reached an instance.
func (l *rateLimitLog) markTold(now time.Duration, to *instance, statement endpoint.RateLimitStatement) {
	if _, ok := l.toldAt[to]; !ok && statement.IsLimited {
		l.toldAt[to] = now
	}
}

// forget records that an instance was restarted and has to be told again.
func (l *rateLimitLog) forget(restarted *instance) {
	delete(l.toldAt, restarted)
}

// addArrival records a request and checks the window that ends with it.
func (l *rateLimitLog) addArrival(now time.Duration, from *instance) {
	l.arrivals = append(l.arrivals, rateLimitArrival{at: now, from: from})
	l.arrivals = slices.DeleteFunc(l.arrivals, func(a rateLimitArrival) bool { return now-a.at >= rateLimitWindow })
	allowed, ok := l.allowed(now)
	if !ok {
		return
	}
	count := 0
	for _, a := range l.arrivals {
		toldAt, ok := l.toldAt[a.from]
		// The rule excuses restarted instances altogether. Here only the requests that
		// they send before they are told again do not count.
		isExcused := a.from.starts > 1 && a.at < toldAt
		if ok && now-toldAt >= rateLimitNotice && !isExcused {
			count++
		}
	}
	excess := float64(count) - (rateLimitFactor*allowed + rateLimitSlack)
	if l.windows == 0 || excess > l.maxExcess {
		l.maxExcess = excess
	}
	l.windows++
}

// allowed returns the number of requests that the limits allow in the window that
// ends now. A limit that replaces another one counts from rateLimitNotice after its
// first statement. It returns false if the endpoint did not state a limit in the
// whole window.
func (l *rateLimitLog) allowed(now time.Duration) (float64, bool) {
	total := 0.0
	end := now
	for i, change := range slices.Backward(l.changes) {
		if !change.statement.IsLimited {
			return 0, false
		}
		start := change.at
		if i > 0 && l.changes[i-1].statement.IsLimited {
			start += rateLimitNotice
		}
		start = max(start, now-rateLimitWindow)
		if start < end {
			total += float64(change.statement.Rate) * (end - start).Seconds()
			end = start
		}
		if end == now-rateLimitWindow {
			return total, now-l.changes[0].at >= rateLimitContact
		}
	}
	return 0, false
}
