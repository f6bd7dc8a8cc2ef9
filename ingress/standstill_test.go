package ingress_test

import (
	"context"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// A listCatalog has an endpoint list that does not change.
type listCatalog struct {
	emptyCatalog
}

// EndpointChanges implements savorystep.Catalog.
func (*listCatalog) EndpointChanges(context.Context, savorystep.CatalogVersion, time.Duration) (savorystep.EndpointChanges, error) {
	return savorystep.EndpointChanges{Version: 1}, nil
}

// A manualClock shows the time to which it was set.
type manualClock struct {
	now time.Time
}

var _ savorystep.Clock = &manualClock{}

// Now implements savorystep.Clock.
func (c *manualClock) Now() time.Time { return c.now }

// TestStandstillLimitsRequests guards against an instance that stood still, also while
// the machine was suspended and no other clock ran, and sends all that has arrived to
// endpoints that may have become cold, or that holds back after the list is read.
func TestStandstillLimitsRequests(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	now := time.Now()
	runtime := &manualClock{now: now}
	router.WatchStandstills(runtime)
	router.SetInstances(now, []savorystep.InstanceID{"self"})
	choose := func(key uint64) (endpoint.Reason, bool) {
		choice, ok := router.Choose(now, endpoint.Query{Service: "s", AffinityKey: key})
		return choice.Reason, ok
	}
	if reason, ok := choose(1); !ok || reason != endpoint.ReasonPrimary {
		t.Fatalf("reason %q, %v before the standstill, want %q", reason, ok, endpoint.ReasonPrimary)
	}
	runtime.now = now.Add(5 * time.Second)
	// No endpoint may get a request as a cold one: the instance has just started.
	if reason, ok := choose(2); ok {
		t.Errorf("an endpoint was chosen after the standstill, reason %q, want none", reason)
	}
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Catalog: &listCatalog{}, Clock: savorystep.SystemClock{}, Router: router})
	ctx, cancel := context.WithCancel(t.Context())
	done := watcher.Start(ctx)
	for isExcluded := true; isExcluded; time.Sleep(time.Millisecond) {
		router.WithTable(func(table *endpoint.Table) { isExcluded = len(table.Excluded(now)) > 0 })
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if reason, ok := choose(3); !ok || reason != endpoint.ReasonPrimary {
		t.Errorf("reason %q, %v after the list was read, want %q", reason, ok, endpoint.ReasonPrimary)
	}
}
