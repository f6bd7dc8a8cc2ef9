package ingress

import (
	"context"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// ApplyList exports Watcher.applyList.
func (w *Watcher) ApplyList(now time.Time, changes savorystep.EndpointChanges) {
	w.applyList(now, changes, false)
}

// RecordListFailure exports Watcher.recordListFailure.
func (w *Watcher) RecordListFailure(now time.Time) {
	w.recordListFailure(now)
}

// ApplyOperatorChanges applies changes of the operators' configuration.
func (w *Watcher) ApplyOperatorChanges(now time.Time, changes savorystep.OperatorChanges) {
	w.operatorState.apply(now, w.config.Router, changes, 0)
}

// SplitRequests returns how many of the given number of requests of a route the
// splitter sends to each service.
func SplitRequests(route *savorystep.Route, requests int) map[savorystep.Service]int {
	s := newWeightedSplitter(route)
	counts := make(map[savorystep.Service]int)
	for range requests {
		counts[s.next()]++
	}
	return counts
}

// BackoffsAfter returns the backoff after each of a series of calls with the given
// errors.
func BackoffsAfter(errs []error) []time.Duration {
	var d dependency
	backoffs := make([]time.Duration, len(errs))
	for i, err := range errs {
		d.record(time.Unix(int64(i), 0), err)
		backoffs[i] = d.backoff()
	}
	return backoffs
}

// PrefersLocal exports Router.prefersLocal.
func (r *Router) PrefersLocal(route *savorystep.Route, bodyBytes int) bool {
	return r.prefersLocal(route, bodyBytes)
}

// ObserveResponse exports Router.observeResponse.
func (r *Router) ObserveResponse(route savorystep.RouteName, size int) {
	r.observeResponse(route, size)
}

// SetOperatorReadsRecoveredAt sets when the operators' configuration was first read
// after an outage.
func (w *Watcher) SetOperatorReadsRecoveredAt(now time.Time) {
	w.operatorReadsRecoveredAt.Store(&now)
}

// DescribeNoEndpoint exports Forwarder.describeNoEndpoint for a query for which Choose
// returned a choice.
func (p *Proxy) DescribeNoEndpoint(now time.Time, query endpoint.Query, choice endpoint.Choice) string {
	return p.forwarder.describeNoEndpoint(now, query, choice)
}

// Choose exports Router.choose.
func (r *Router) Choose(now time.Time, query endpoint.Query) (endpoint.Choice, bool) {
	return r.choose(now, query)
}

// Crashed exports crashed.
func Crashed(ctx context.Context, err error, address savorystep.Address) bool {
	return crashed(ctx, err, address)
}

// EndpointDownCause exports endpointDownCause.
func EndpointDownCause(err error) error {
	return endpointDownCause(err)
}
