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

// An emptyCatalog is a store to which nobody has written yet. It has no version
// that a read could wait for.
type emptyCatalog struct {
	orders atomic.Int64
}

func (c *emptyCatalog) EndpointChanges(context.Context, savorystep.CatalogVersion, time.Duration) (savorystep.EndpointChanges, error) {
	return savorystep.EndpointChanges{Full: true}, nil
}

func (c *emptyCatalog) OperatorChanges(context.Context, savorystep.CatalogVersion, time.Duration) (savorystep.OperatorChanges, error) {
	c.orders.Add(1)
	return savorystep.OperatorChanges{Full: true}, nil
}

// TestWatcherPausesOnEmptyStore guards against a fleet that starts before the
// operators wrote anything and reads the empty store without a pause: 83
// instances made 2,201 calls in the first second of a day.
func TestWatcherPausesOnEmptyStore(t *testing.T) {
	const (
		watched = 600 * time.Millisecond
		// mostReads is one at the start and one each half second.
		mostReads = 2
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
	if reads := catalog.orders.Load(); reads > mostReads {
		t.Errorf("%d reads in %v, at most %d are needed", reads, watched, mostReads)
	}
}

// TestWatcherBacksOff guards against a fleet that calls a store that is down at
// the rate of the first retries, each instance four times a second.
func TestWatcherBacksOff(t *testing.T) {
	down := errors.New("down")
	pauses := ingress.PausesAfter([]error{down, down, down, down, nil, down})
	const ms = time.Millisecond
	want := []time.Duration{250 * ms, 500 * ms, 1000 * ms, 1000 * ms, 250 * ms, 250 * ms}
	if !slices.Equal(pauses, want) {
		t.Errorf("pauses %v, want %v", pauses, want)
	}
}

// TestReturnCountsFromOrders guards against requests at an endpoint that left while
// this instance was cut off: the orders were read 0.9 s before the list was, so the
// store was back by then (scale-2 of scaba-alertas, seed 439052317867).
func TestReturnCountsFromOrders(t *testing.T) {
	_, _, steering := newFront(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: steering, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	watcher.FailList(now)
	watcher.OrdersBack(now.Add(10 * time.Second))
	back := now.Add(10900 * time.Millisecond)
	watcher.ApplyList(back, savorystep.EndpointChanges{Version: 2, Full: true})
	usable := func(after time.Duration) (count int) {
		steering.WithTable(func(table *endpoint.Table) { _, count = table.CountEndpoints(back.Add(after), "s") })
		return count
	}
	if count := usable(800 * time.Millisecond); count != 3 {
		t.Errorf("%d endpoints can get requests within the time for their return, want 3", count)
	}
	if count := usable(time.Second); count != 0 {
		t.Errorf("%d endpoints can get requests after the time for their return", count)
	}
}

// TestMissingLapsesInTime guards against requests at an endpoint that left while
// this instance was cut off: it was passed over only with the first read of the
// list after the time for its return, half a second late (scale-2 of
// corrente-limpa-grown, seed 362451808053).
func TestMissingLapsesInTime(t *testing.T) {
	_, _, steering := newFront(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: steering, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	entry := func(id savorystep.EndpointID) savorystep.Endpoint {
		return savorystep.Endpoint{ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: "z"}}
	}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 1, Full: true, Endpoints: []savorystep.Endpoint{entry("a"), entry("b")}})
	watcher.FailList(now)
	back := now.Add(10 * time.Second)
	watcher.ApplyList(back, savorystep.EndpointChanges{Version: 2, Full: true})
	watcher.ApplyList(back.Add(time.Second), savorystep.EndpointChanges{Version: 3, Endpoints: []savorystep.Endpoint{entry("b")}})
	for _, test := range []struct {
		name  string
		after time.Duration
		want  int
	}{
		{name: "after the time for its return", after: 1900 * time.Millisecond, want: 1},
		{name: "within the time for its return", after: 1700 * time.Millisecond, want: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			usable := 0
			steering.WithTable(func(table *endpoint.Table) { _, usable = table.CountEndpoints(back.Add(test.after), "s") })
			if usable != test.want {
				t.Errorf("%d endpoints can get requests, want %d", usable, test.want)
			}
		})
	}
}
