package ingress_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
)

// TestSilentEndpointIsColdEverywhere guards against instances that send an endpoint as much
// as a warm one after it has lost power and started again, although it was silent to several
// of them: no connection was opened in time, or nothing was acknowledged. One that was
// only slower than the deadline of a request is not silent.
func TestSilentEndpointIsColdEverywhere(t *testing.T) {
	cases := []struct {
		name  string
		stage http1.Stage
		cause error
		want  int
	}{
		{name: "no connection in time", stage: http1.StageDial, cause: os.ErrDeadlineExceeded, want: 1},
		{name: "nothing acknowledged", stage: http1.StageSent, cause: syscall.ETIMEDOUT, want: 1},
		{name: "no response in time", stage: http1.StageSent, cause: context.DeadlineExceeded, want: 0},
		{name: "reset", stage: http1.StageSent, cause: syscall.ECONNRESET, want: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			facts := &fakeFacts{}
			transport := errorTransport{err: &http1.ExchangeError{Stage: c.stage, Cause: c.cause}}
			proxy, routers := newEndingProxies(t, facts, transport, "127.0.0.1:1")
			// An instance to which all endpoints are silent may be cut off, and reports none.
			routers[0].WithTable(func(table *endpoint.Table) {
				for key := range uint64(20) {
					if choice, ok := table.Choose(time.Now(), endpoint.Query{Service: "s", AffinityKey: key}); ok {
						table.Finish(time.Now(), choice, endpoint.OutcomeAnswered, nil)
					}
				}
			})
			post(t, proxy, "/once/x", "body")
			if got := countCold(routers[1]); got != 0 {
				t.Errorf("%d endpoints count as cold after the report of one instance, want 0", got)
			}
			facts.publishFrom("another", savorystep.FactSilent, "d", savorystep.EndedFact{StartedAtMillis: 7})
			if got := countCold(routers[1]); got != c.want {
				t.Errorf("%d endpoints count as cold after that of another instance, want %d", got, c.want)
			}
		})
	}
}
