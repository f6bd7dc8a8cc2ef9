package ingress_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// A restartTransport simulates an endpoint that starts again under its id. The request to
// the first incarnation finds that nothing listens at its address, when a request has
// arrived at the second one.
type restartTransport struct {
	// dialing is closed when the request to the first incarnation is sent, arrived when the
	// one to the second incarnation is.
	dialing, arrived chan struct{}
	// respond is closed when the second incarnation responds.
	respond chan struct{}
}

func (r *restartTransport) Exchange(ctx context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	if e.StartedAtMillis == 1 {
		close(r.dialing)
		<-r.arrived
		return nil, &http1.ExchangeError{Stage: http1.StageDial, Cause: syscall.ECONNREFUSED}
	}
	close(r.arrived)
	<-r.respond
	if err := context.Cause(ctx); err != nil {
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: err}
	}
	return &http1.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"s"}}}, nil
}

// listOnly lists an incarnation of endpoint a as live and the other endpoints as leaving.
func listOnly(router *ingress.Router, startedAtMillis int64) {
	router.WithTable(func(table *endpoint.Table) {
		for _, id := range []savorystep.EndpointID{"a", "b", "c"} {
			state := savorystep.StateLeaving
			if id == "a" {
				state = savorystep.StateLive
			}
			table.Put(time.Now(), savorystep.Endpoint{
				ID: id, Service: "s", State: state, Slots: 3, StartedAtMillis: startedAtMillis, ReportSequence: 1,
				WrittenVersion: savorystep.CatalogVersion(10 * startedAtMillis), Place: savorystep.Place{Zone: "z"},
			})
		}
	})
}

// TestRefusalSparesLaterIncarnation guards against cancelling the requests to an endpoint
// that has started again, because a request to its earlier incarnation was refused.
func TestRefusalSparesLaterIncarnation(t *testing.T) {
	_, _, router := newPatientProxy(t, "ok")
	transport := &restartTransport{dialing: make(chan struct{}), arrived: make(chan struct{}), respond: make(chan struct{})}
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router),
		Place: savorystep.Place{Region: "r", Zone: "z"}, Transport: transport, Router: router,
	})
	listOnly(router, 1)
	first, second := make(chan int, 1), make(chan int, 1)
	go func() { first <- sendSafe(t, proxy, "1").Code }()
	<-transport.dialing
	listOnly(router, 2)
	go func() { second <- sendSafe(t, proxy, "2").Code }()
	if status := <-first; status != http.StatusServiceUnavailable {
		t.Errorf("status %d of the request to the earlier incarnation, want 503", status)
	}
	close(transport.respond)
	if status := <-second; status != http.StatusOK {
		t.Errorf("status %d of the request to the later incarnation, want 200", status)
	}
}
