package upstream_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// panickingFacts panic at each broadcast.
type panickingFacts struct{ *fakeFacts }

func (panickingFacts) Broadcast(context.Context, savorystep.FactKind, string, any) (acked, missing int) {
	panic("a fault of the facts")
}

// TestPanicReleasesLease guards against a process that ends because a request without an
// idempotency key panics after it was sent, and against a slot and a permit that are lost
// if the panic is answered.
func TestPanicReleasesLease(t *testing.T) {
	for _, request := range []*savorystep.Request{get("idempotent", "/crash"), post("at-most-once", "/crash")} {
		t.Run(string(request.ID), func(t *testing.T) {
			tb := newTestbed(t)
			tb.addUpstream("a", "natal", standin.UpstreamConfig{})
			budgets := &fakeBudgets{}
			facts := tb.factBus.join("instance-1")
			p := tb.newPool(func(config *upstream.Config) {
				config.Budgets = budgets
				config.Facts = facts
			})
			q := upstream.NewQuarantine(p, upstream.QuarantineConfig{Facts: panickingFacts{facts}, Self: "instance-1"})
			request.Record.InFlightLimits = map[savorystep.Region]savorystep.Slots{"natal": 1}
			err := forwardRecovered(t, q, request)
			wantError(t, err, savorystep.KindInternal)
			if execution := savorystep.ExecutionOf(err); execution != savorystep.ExecutionUnknown {
				t.Errorf("execution %v of a request that panicked after it was sent, want unknown", execution)
			}
			if used := budgets.inUse(limitedRegion); used != 0 {
				t.Errorf("%d permits in use after a panic, want 0", used)
			}
			if load := p.RegionLoads(testService, time.Now())[0]; load.UsableEndpoints != 1 || load.UsedSlots != 0 {
				t.Errorf("%d slots used at %d usable endpoints after a panic, want 0 at 1", load.UsedSlots, load.UsableEndpoints)
			}
			if p.Panics() != 1 {
				t.Errorf("%d panics counted, want 1", p.Panics())
			}
		})
	}
}

// forwardRecovered forwards a request. It fails the test if the panic reaches the caller.
func forwardRecovered(t *testing.T, forwarder savorystep.Forwarder, request *savorystep.Request) (err error) {
	t.Helper()
	defer func() {
		if cause := recover(); cause != nil {
			t.Errorf("panic reached the caller: %v", cause)
			err = savorystep.NewError(savorystep.KindInternal, "panic")
		}
	}()
	_, err = forwarder.Forward(t.Context(), request)
	return err
}

// panickingBudgets grant the first permit of a request and panic at the second.
type panickingBudgets struct{ fakeBudgets }

func (b *panickingBudgets) Acquire(now time.Time, name savorystep.BudgetName, limit savorystep.Slots) (savorystep.Permit, error) {
	if b.inUse(savorystep.ShiftBudget(testService, "natal", "recife")) > 0 {
		panic("a fault of the budgets")
	}
	return b.fakeBudgets.Acquire(now, name, limit)
}

// TestPanicBeforeSend guards against a slot and a permit that are lost because a request
// panics before it has all permits.
func TestPanicBeforeSend(t *testing.T) {
	tb := newTestbed(t)
	tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	tb.addUpstream("b", "recife", standin.UpstreamConfig{})
	budgets := &panickingBudgets{}
	p := tb.newPool(func(config *upstream.Config) { config.Budgets = budgets })
	request := get("r1", "/echo")
	request.Record = record("natal")
	request.Record.Shifts = []savorystep.Shift{{From: "natal", To: "recife", Percent: 100, Cap: 1}}
	request.Record.InFlightLimits = map[savorystep.Region]savorystep.Slots{"recife": 1}
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the budgets did not panic")
			}
		}()
		_, _ = p.Forward(t.Context(), request)
	}()
	if used := budgets.inUse(savorystep.ShiftBudget(testService, "natal", "recife")); used != 0 {
		t.Errorf("%d permits in use after a panic, want 0", used)
	}
	for _, load := range p.RegionLoads(testService, time.Now()) {
		if load.UsedSlots != 0 {
			t.Errorf("%d slots used in region %s after a panic, want 0", load.UsedSlots, load.Region)
		}
	}
}

// TestPanicReleasesFingerprint guards against a request that waits until its deadline for
// another one with its fingerprint, which has panicked.
func TestPanicReleasesFingerprint(t *testing.T) {
	bus := &factBus{}
	q := upstream.NewQuarantine(panickingForwarder{}, upstream.QuarantineConfig{Facts: bus.join("instance-1"), Self: "instance-1"})
	request := get("r1", "/x")
	request.Deadline = time.Now().Add(5 * time.Second)
	bus.join("instance-2").Publish(savorystep.FactCrash, request.Fingerprint.String(), savorystep.CrashFact{Endpoints: []savorystep.EndpointID{"a"}})
	for n := range 2 {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("request %d did not reach the forwarder, which panics", n)
				}
			}()
			_, _ = q.Forward(t.Context(), request)
		}()
	}
}

// A panickingBody is a body whose reads panic.
type panickingBody struct{ isClosed bool }

func (*panickingBody) Read([]byte) (int, error) { panic("a fault of the body") }

func (b *panickingBody) Close() error {
	b.isClosed = true
	return nil
}

// TestKeyedPanicClosesResponse guards against a slot that is lost because a response that
// can't be read to its end is not closed.
func TestKeyedPanicClosesResponse(t *testing.T) {
	body := &panickingBody{}
	next := forwarderFunc(func(context.Context, *savorystep.Request) (*savorystep.Response, error) {
		return &savorystep.Response{Status: http.StatusOK, Body: body}, nil
	})
	k := upstream.NewKeyedForwarder(next, upstream.KeyedForwarderConfig{Store: &fakeStore{rows: map[savorystep.IdempotencyKey]*fakeAttempt{}}})
	_, err := k.Forward(t.Context(), keyedPost("r1", "/x"))
	wantError(t, err, savorystep.KindInternal)
	k.Wait()
	if !body.isClosed || k.Panics() != 1 {
		t.Errorf("response closed: %t, %d panics counted, want true and 1", body.isClosed, k.Panics())
	}
}

// A forwarderFunc is a forwarder that calls itself.
type forwarderFunc func(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error)

func (f forwarderFunc) Forward(ctx context.Context, request *savorystep.Request) (*savorystep.Response, error) {
	return f(ctx, request)
}
