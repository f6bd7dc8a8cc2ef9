package upstream_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// TestRetryOnOtherEndpoint guards against a retry on the endpoint that failed,
// and against a retry that sends only the rest of the body.
func TestRetryOnOtherEndpoint(t *testing.T) {
	cases := []struct {
		name       string
		fault      func(*standin.Upstream)
		atMostOnce bool
	}{
		{name: "crashed endpoint", fault: (*standin.Upstream).Crash, atMostOnce: true},
		{name: "shedding endpoint", fault: func(u *standin.Upstream) { u.SetFaults(standin.UpstreamFaults{Shed: true}) }, atMostOnce: true},
		{name: "crash while running", fault: func(u *standin.Upstream) { u.SetFaults(standin.UpstreamFaults{CrashPath: "/echo"}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := newTestbed(t)
			a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 3})
			tb.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
			retrier := upstream.NewRetrier(tb.newPool(nil), upstream.RetrierConfig{})
			c.fault(a)
			// Endpoint a has the most free slots, so it is tried first.
			request := get("r1", "/echo")
			request.Idempotent = !c.atMostOnce
			request.Method = "PUT"
			request.Body, request.BodyLength = strings.NewReader(strings.Repeat("x", 50_000)), 50_000
			response, err := retrier.Forward(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			body := readAll(t, response)
			if response.Endpoint != "b" || !strings.Contains(body, `"length":50000`) {
				t.Errorf("endpoint %s responded with %s, want endpoint b and 50000 bytes received", response.Endpoint, body)
			}
		})
	}
}

// TestNoRetryOfSentNonIdempotent guards against a second run of an at-most-once
// request whose endpoint crashes while it runs it: a retry on another endpoint
// would run it again.
func TestNoRetryOfSentNonIdempotent(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 3})
	tb.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
	retrier := upstream.NewRetrier(tb.newPool(nil), upstream.RetrierConfig{})
	a.SetFaults(standin.UpstreamFaults{CrashPath: "/echo"})
	_, err := retrier.Forward(t.Context(), post("r1", "/echo"))
	wantError(t, err, savorystep.KindOutcomeUnknown)
	if runs := tb.runsOf("r1"); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// A scriptedForwarder returns the given errors in order, then the last one
// forever.
type scriptedForwarder struct {
	errs  []error
	calls int
}

func (f *scriptedForwarder) Forward(context.Context, *savorystep.Request) (*savorystep.Response, error) {
	err := f.errs[min(f.calls, len(f.errs)-1)]
	f.calls++
	if err == nil {
		return &savorystep.Response{}, nil
	}
	return nil, err
}

// TestRetryBudget guards against retries that multiply the load when all
// upstreams fail.
func TestRetryBudget(t *testing.T) {
	failure := savorystep.WrapError(savorystep.KindNoUpstream, &upstream.AttemptError{Endpoint: "a"}, "no connection")
	next := &scriptedForwarder{errs: []error{failure}}
	retrier := upstream.NewRetrier(next, upstream.RetrierConfig{BudgetBurst: 5})
	const requests = 1000
	for range requests {
		_, err := retrier.Forward(t.Context(), get("r", "/x"))
		wantError(t, err, savorystep.KindNoUpstream)
	}
	if retries := next.calls - requests; retries > 5+requests/10 || retries < requests/10 {
		t.Errorf("%d retries for %d requests, want a tenth of the requests, up to 5 more", retries, requests)
	}
}

// TestRetryWaitsForRoom guards against losing a request because its retry was
// rejected at a moment of overload or at a cap: when many connections become silent at
// once, a region admits failover traffic only gradually, and the requests on them hold
// their permits for some time.
func TestRetryWaitsForRoom(t *testing.T) {
	for _, full := range []error{
		savorystep.NewError(savorystep.KindOverloaded, "failover limit is reached"),
		savorystep.NewError(savorystep.KindCapReached, "budget is used up"),
	} {
		silent := savorystep.WrapError(savorystep.KindUpstreamFailed, &upstream.AttemptError{Endpoint: "a", Sent: true}, "silent")
		next := &scriptedForwarder{errs: []error{silent, full, full, nil}}
		response, err := upstream.NewRetrier(next, upstream.RetrierConfig{}).Forward(t.Context(), get("r", "/x"))
		if err != nil || response == nil || next.calls != 4 {
			t.Errorf("%v: response %v, error %v after %d calls, want a response after 4", full, response, err, next.calls)
		}
	}
}

// TestRetryWaitsForRoomUntilDeadline guards against losing a request that may have run
// because no other endpoint has room for its retry during the first seconds of its time.
func TestRetryWaitsForRoomUntilDeadline(t *testing.T) {
	silent := savorystep.WrapError(savorystep.KindUpstreamFailed, &upstream.AttemptError{Endpoint: "a", Sent: true}, "silent")
	refused := savorystep.WrapError(savorystep.KindNoUpstream, &upstream.AttemptError{Endpoint: "a"}, "refused")
	full := savorystep.NewError(savorystep.KindOverloaded, "failover limit is reached")
	const deadline = 30 * time.Second
	tests := []struct {
		name  string
		first error
		// fullAttempts is the number of attempts without room before one with a response.
		fullAttempts int
		kind         savorystep.Kind
		minWait      time.Duration
		maxWait      time.Duration
	}{
		{name: "room after 7 s", first: silent, fullAttempts: 20, minWait: 7 * time.Second, maxWait: 8 * time.Second},
		{name: "no room in time", first: silent, fullAttempts: 1000, kind: savorystep.KindUpstreamFailed, minWait: deadline, maxWait: deadline},
		{name: "not executed", first: refused, fullAttempts: 1000, kind: savorystep.KindOverloaded, maxWait: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				errs := append([]error{test.first}, slices.Repeat([]error{full}, test.fullAttempts)...)
				begin := time.Now()
				_, err := upstream.NewRetrier(&scriptedForwarder{errs: append(errs, nil)}, upstream.RetrierConfig{}).Forward(ctx, get("r", "/x"))
				wantError(t, err, test.kind)
				if wait := time.Since(begin); wait < test.minWait || wait > test.maxWait {
					t.Errorf("the request ended after %v, want %v to %v", wait, test.minWait, test.maxWait)
				}
			})
		})
	}
}

// TestRetryReportsPossibleExecution guards against reporting a request as not
// executed after an earlier attempt may have executed it.
func TestRetryReportsPossibleExecution(t *testing.T) {
	sent := savorystep.WrapError(savorystep.KindUpstreamFailed, &upstream.AttemptError{Endpoint: "a", Sent: true}, "reset")
	unsent := savorystep.WrapError(savorystep.KindNoUpstream, &upstream.AttemptError{Endpoint: "b"}, "refused")
	full := savorystep.NewError(savorystep.KindOverloaded, "no slot")
	for _, errs := range [][]error{{sent, unsent}, {sent, full}, {unsent, sent}} {
		retrier := upstream.NewRetrier(&scriptedForwarder{errs: errs}, upstream.RetrierConfig{})
		_, err := retrier.Forward(t.Context(), get("r", "/x"))
		wantError(t, err, savorystep.KindUpstreamFailed)
	}
}
