package ingress_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// A fallbackCatalog is a catalog whose store fails from failsAt to servesAt. Meanwhile
// the operators' configuration is read from other instances from relaysAt on. The list
// has lost its endpoint when the store is back.
type fallbackCatalog struct {
	failsAt, relaysAt, servesAt time.Time
}

func (c *fallbackCatalog) isFailing(now time.Time) bool {
	return !now.Before(c.failsAt) && now.Before(c.servesAt)
}

func (c *fallbackCatalog) EndpointChanges(context.Context, savorystep.CatalogVersion, time.Duration) (savorystep.EndpointChanges, error) {
	now := time.Now()
	switch {
	case c.isFailing(now):
		return savorystep.EndpointChanges{}, errTurnedAway
	case now.Before(c.failsAt):
		return savorystep.EndpointChanges{Version: 1, Full: true, Endpoints: []savorystep.Endpoint{
			{ID: "e", Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: "z"}},
		}}, nil
	default:
		return savorystep.EndpointChanges{Version: 2, Full: true}, nil
	}
}

func (c *fallbackCatalog) OperatorChanges(ctx context.Context, _ savorystep.CatalogVersion, wait time.Duration) (savorystep.OperatorChanges, error) {
	changes := savorystep.OperatorChanges{Version: 1}
	if now := time.Now(); c.isFailing(now) {
		if now.Before(c.relaysAt) {
			return changes, errTurnedAway
		}
		changes.IsFallback = true
	}
	savorystep.Sleep(ctx, wait)
	return changes, nil
}

// TestFallbackHidesNoOutage guards against endpoints that get no grace time after an
// outage of the store, because the operators' configuration was read from other
// instances meanwhile and the store was taken for recovered.
func TestFallbackHidesNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		now := time.Now()
		catalog := &fallbackCatalog{failsAt: now.Add(5 * time.Second), relaysAt: now.Add(8 * time.Second), servesAt: now.Add(12 * time.Second)}
		router := ingress.NewRouter(endpoint.Config{Self: "self"})
		watcher := ingress.NewWatcher(ingress.WatcherConfig{Catalog: catalog, Clock: savorystep.SystemClock{}, Router: router, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
		done := watcher.Start(ctx)
		// The list is read again up to maxBackoff later.
		time.Sleep(13300 * time.Millisecond)
		var usable int
		router.WithTable(func(table *endpoint.Table) { _, usable = table.CountEndpoints(time.Now(), "s") })
		if usable != 1 {
			t.Errorf("%d endpoints can get requests 1.3 s after the store's return, want 1", usable)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
