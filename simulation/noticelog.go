package simulation

import "time"

// leavingDrain is the users' bound drain: a request that a caller sends later than this
// after an instance was told that an endpoint leaves must not reach it from there.
const leavingDrain = 2500 * time.Millisecond

// A noticeLog holds what an endpoint told to which instances about further requests,
// and checks the requests that it gets.
type noticeLog struct {
	// leavingTold maps the instances that got a response which says that the endpoint
	// leaves to the time of the first one since their start.
	leavingTold map[*instance]time.Duration
	// afterLeaving counts the requests that callers sent to those instances later than
	// leavingDrain after that.
	afterLeaving int
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
}

// addArrival records a request that a caller sent to an instance at sentAt.
func (l *noticeLog) addArrival(from *instance, sentAt time.Duration) {
	if toldAt, ok := l.leavingTold[from]; ok && sentAt > toldAt+leavingDrain {
		l.afterLeaving++
	}
}
