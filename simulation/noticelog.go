package simulation

import (
	"slices"
	"time"
)

// leavingDrain is the users' bound drain: a request that a caller sends later than this
// after an instance was told that an endpoint leaves must not reach it from there.
const leavingDrain = 2500 * time.Millisecond

// The users' rule on Retry-After: from retryAfterNotice after an endpoint rejected a
// request of an instance with it until its end, no more than maxWhileClosed requests
// reach the endpoint from there.
const (
	retryAfterNotice = 500 * time.Millisecond
	maxWhileClosed   = 2
)

// A noticeLog holds what an endpoint told to which instances about further requests,
// and checks the requests that it gets.
type noticeLog struct {
	// leavingTold maps the instances that got a response which says that the endpoint
	// leaves to the time of the first one since their start.
	leavingTold map[*instance]time.Duration
	// afterLeaving counts the requests that callers sent to those instances later than
	// leavingDrain after that.
	afterLeaving int
	// closings are the times for which the endpoint wants no requests, each as one of
	// its responses stated it.
	closings []closing
	// whileClosed counts the requests beyond maxWhileClosed in one of those times.
	whileClosed int
}

// A closing is a time for which an endpoint wants no requests from an instance.
type closing struct {
	to         *instance
	start, end time.Duration
	arrivals   int
}

// markLeaving records that a response which says that the endpoint leaves reached an
// instance.
func (l *noticeLog) markLeaving(now time.Duration, to *instance) {
	if l.leavingTold == nil {
		l.leavingTold = make(map[*instance]time.Duration)
	}
	if _, ok := l.leavingTold[to]; !ok {
		l.leavingTold[to] = now
	}
}

// forget records that an instance was restarted and has to be told again.
func (l *noticeLog) forget(restarted *instance) {
	delete(l.leavingTold, restarted)
	l.closings = slices.DeleteFunc(l.closings, func(c closing) bool { return c.to == restarted })
}

// delay records that an instance freezes. What the endpoint tells it meanwhile, or has
// told it so recently that the response is still on its way, reaches it at the end.
func (l *noticeLog) delay(now time.Duration, frozen *instance) {
	for i := range l.closings {
		c := &l.closings[i]
		if c.to == frozen && now < c.start-retryAfterNotice+2*otherRegionDelay {
			c.start = max(c.start, frozen.frozenUntil+retryAfterNotice)
		}
	}
}

// addClosing records that the endpoint rejects a request of an instance and wants no
// more for a time.
func (l *noticeLog) addClosing(now time.Duration, to *instance, wait time.Duration) {
	toldAt := max(now, to.frozenUntil)
	l.closings = append(l.closings, closing{to: to, start: toldAt + retryAfterNotice, end: now + wait})
}

// addArrival records a request that arrives now and that a caller sent to an instance
// at sentAt.
func (l *noticeLog) addArrival(now time.Duration, from *instance, sentAt time.Duration) {
	for i := range l.closings {
		c := &l.closings[i]
		if c.to != from || now < c.start || now >= c.end {
			continue
		}
		if c.arrivals++; c.arrivals > maxWhileClosed {
			l.whileClosed++
		}
	}
	if toldAt, ok := l.leavingTold[from]; ok && sentAt > toldAt+leavingDrain {
		l.afterLeaving++
	}
}
