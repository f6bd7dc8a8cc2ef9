package ingress

import (
	"time"

	"savorystep"
)

// ApplyList takes changes as the watcher does.
func (w *Watcher) ApplyList(now time.Time, changes savorystep.EndpointChanges) {
	w.applyList(now, changes)
}

// FailList takes a failed read of the list as the watcher does.
func (w *Watcher) FailList(now time.Time) {
	w.recordListFailure(now)
}

// ApplyOrders takes orders as the watcher does.
func (w *Watcher) ApplyOrders(now time.Time, changes savorystep.OperatorChanges) {
	w.applyOperatorChanges(now, changes)
}

// NamedAmong chooses among members as the directory does.
func NamedAmong(members []savorystep.Member, region savorystep.Region) []savorystep.Address {
	return readyAddresses(members, region)
}

// Deal returns how often each service gets one of the next requests of a route.
func Deal(route *savorystep.Route, requests int) map[savorystep.Service]int {
	s := newWeightedSplitter(route)
	counts := make(map[savorystep.Service]int)
	for range requests {
		counts[s.next()]++
	}
	return counts
}

// PausesAfter returns the pause after each outcome of a series of calls.
func PausesAfter(outcomes []error) []time.Duration {
	var d dependency
	pauses := make([]time.Duration, len(outcomes))
	for i, err := range outcomes {
		d.record(time.Unix(int64(i), 0), err)
		pauses[i] = d.backoff()
	}
	return pauses
}

// IsNear reports whether a request stays near.
func (s *Router) IsNear(route *savorystep.Route, body int) bool {
	return s.prefersLocal(route, body)
}

// NoteAnswer takes the size of an answer.
func (s *Router) NoteAnswer(route savorystep.RouteName, size int) {
	s.observeResponse(route, size)
}

// OrdersBack takes the first read of the orders after an outage as the watcher
// does.
func (w *Watcher) OrdersBack(now time.Time) {
	w.operatorReadsRecoveredAt.Store(&now)
}
