package ingress_test

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// An emptyCatalog is a store to which nothing has been written yet. It has no
// version, so reads do not wait for changes.
type emptyCatalog struct {
	// operatorReads counts the reads of the operators' configuration.
	operatorReads atomic.Int64
}

func (c *emptyCatalog) EndpointChanges(context.Context, savorystep.CatalogVersion, time.Duration) (savorystep.EndpointChanges, error) {
	return savorystep.EndpointChanges{Full: true}, nil
}

func (c *emptyCatalog) OperatorChanges(context.Context, savorystep.CatalogVersion, time.Duration) (savorystep.OperatorChanges, error) {
	c.operatorReads.Add(1)
	return savorystep.OperatorChanges{Full: true}, nil
}

// TestWatcherLimitsReadsOfEmptyStore guards against instances that start before the
// operators have written to the store and read it in a tight loop: 83 instances
// made 2,201 calls in the first second.
func TestWatcherLimitsReadsOfEmptyStore(t *testing.T) {
	const (
		watched = 600 * time.Millisecond
		// maxReads is one read at the start and one after emptyStoreInterval.
		maxReads = 2
	)
	catalog := &emptyCatalog{}
	watcher := ingress.NewWatcher(ingress.WatcherConfig{
		Catalog: catalog, Clock: savorystep.SystemClock{}, Router: ingress.NewRouter(endpoint.Config{Self: "self"}),
	})
	ctx, cancel := context.WithTimeout(t.Context(), watched)
	defer cancel()
	if err := <-watcher.Start(ctx); err != nil {
		t.Fatal(err)
	}
	if reads := catalog.operatorReads.Load(); reads > maxReads {
		t.Errorf("%d reads in %v, want at most %d", reads, watched, maxReads)
	}
}

// TestWatcherBacksOff guards against instances that keep calling a store that is
// down at the rate of the first retries, four times per second each.
func TestWatcherBacksOff(t *testing.T) {
	errDown := errors.New("down")
	backoffs := ingress.BackoffsAfter([]error{errDown, errDown, errDown, errDown, nil, errDown})
	const ms = time.Millisecond
	want := []time.Duration{250 * ms, 500 * ms, 1000 * ms, 1000 * ms, 250 * ms, 250 * ms}
	if !slices.Equal(backoffs, want) {
		t.Errorf("backoffs %v, want %v", backoffs, want)
	}
}

// TestRelistGraceStartsAtFirstRead guards against requests to an endpoint that left
// while the store was unreachable. The operators' configuration was read 0.9 s
// before the list, so the grace time starts with that read (scale-2 of
// scaba-alertas, seed 439052317867).
func TestRelistGraceStartsAtFirstRead(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	watcher.RecordListFailure(now)
	watcher.SetOperatorReadsRecoveredAt(now.Add(10 * time.Second))
	recoveredAt := now.Add(10900 * time.Millisecond)
	watcher.ApplyList(recoveredAt, savorystep.EndpointChanges{Version: 2, Full: true})
	usable := func(after time.Duration) (count int) {
		router.WithTable(func(table *endpoint.Table) { _, count = table.CountEndpoints(recoveredAt.Add(after), "s") })
		return count
	}
	if count := usable(800 * time.Millisecond); count != 3 {
		t.Errorf("%d endpoints can get requests during the grace time, want 3", count)
	}
	if count := usable(time.Second); count != 0 {
		t.Errorf("%d endpoints can get requests after the grace time, want 0", count)
	}
}

// TestRelistGraceEndsBetweenReads guards against requests to an endpoint that left
// while the store was unreachable. The endpoint was excluded only by the first
// read of the list after its grace time, half a second late (scale-2 of
// corrente-limpa-grown, seed 362451808053).
func TestRelistGraceEndsBetweenReads(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	entry := func(id savorystep.EndpointID) savorystep.Endpoint {
		return savorystep.Endpoint{ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: "z"}}
	}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 1, Full: true, Endpoints: []savorystep.Endpoint{entry("a"), entry("b")}})
	watcher.RecordListFailure(now)
	recoveredAt := now.Add(10 * time.Second)
	watcher.ApplyList(recoveredAt, savorystep.EndpointChanges{Version: 2, Full: true})
	watcher.ApplyList(recoveredAt.Add(time.Second), savorystep.EndpointChanges{Version: 3, Endpoints: []savorystep.Endpoint{entry("b")}})
	for _, test := range []struct {
		name  string
		after time.Duration
		want  int
	}{
		{name: "after the grace time", after: 1900 * time.Millisecond, want: 1},
		{name: "during the grace time", after: 1700 * time.Millisecond, want: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			usable := 0
			router.WithTable(func(table *endpoint.Table) { _, usable = table.CountEndpoints(recoveredAt.Add(test.after), "s") })
			if usable != test.want {
				t.Errorf("%d endpoints can get requests %v after the recovery, want %d", usable, test.after, test.want)
			}
		})
	}
}

// TestLateReportIsNotUsedAfterOutage guards against requests to an endpoint that has
// left, whose entry was written by a late report and is still listed because the store
// was away when it would have been removed.
func TestLateReportIsNotUsedAfterOutage(t *testing.T) {
	router := ingress.NewRouter(endpoint.Config{Self: "self", ColdFactor: 1, ColdSlack: 100})
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}})
	start := time.Now()
	entry := func(sequence uint64) savorystep.Endpoint {
		return savorystep.Endpoint{ID: "a", Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: sequence, WrittenVersion: savorystep.CatalogVersion(sequence)}
	}
	listed := func(after time.Duration, changes savorystep.EndpointChanges) int {
		watcher.ApplyList(start.Add(after), changes)
		count := 0
		router.WithTable(func(table *endpoint.Table) { count, _ = table.CountEndpoints(start.Add(after), "s") })
		return count
	}
	for _, step := range []struct {
		after    time.Duration
		changes  savorystep.EndpointChanges
		failedAt time.Duration
		want     int
	}{
		{after: 0, changes: savorystep.EndpointChanges{Version: 1, Full: true, Endpoints: []savorystep.Endpoint{entry(1)}}, want: 1},
		{after: time.Second, changes: savorystep.EndpointChanges{Version: 2, Removed: []savorystep.EndpointID{"a"}}, want: 0},
		{after: 2 * time.Second, changes: savorystep.EndpointChanges{Version: 3, Endpoints: []savorystep.Endpoint{entry(3)}}, want: 0},
		{failedAt: 3 * time.Second, after: 13 * time.Second, changes: savorystep.EndpointChanges{Version: 3}, want: 0},
		{after: 18 * time.Second, changes: savorystep.EndpointChanges{Version: 3}, want: 0},
		{after: 19 * time.Second, changes: savorystep.EndpointChanges{Version: 3}, want: 1},
	} {
		if step.failedAt > 0 {
			watcher.RecordListFailure(start.Add(step.failedAt))
		}
		if got := listed(step.after, step.changes); got != step.want {
			t.Errorf("%v after the start the table has %d endpoints, want %d", step.after, got, step.want)
		}
	}
}
