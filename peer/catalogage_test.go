package peer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"savorystep"
	"savorystep/peer"
)

// A suspendedClock is a clock that counts the time of a suspension, which another
// clock does not.
type suspendedClock struct {
	savorystep.Clock

	suspended atomic.Int64
}

func (c *suspendedClock) Now() time.Time {
	return c.Clock.Now().Add(time.Duration(c.suspended.Load()))
}

func (c *suspendedClock) suspend(d time.Duration) {
	c.suspended.Add(int64(d))
}

// A slowCatalog calls during while a read is in progress.
type slowCatalog struct {
	savorystep.Catalog

	during func()
}

func (c *slowCatalog) EndpointChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.EndpointChanges, error) {
	changes, err := c.Catalog.EndpointChanges(ctx, after, wait)
	c.during()
	return changes, err
}

func (c *slowCatalog) OperatorChanges(ctx context.Context, after savorystep.CatalogVersion, wait time.Duration) (savorystep.OperatorChanges, error) {
	changes, err := c.Catalog.OperatorChanges(ctx, after, wait)
	c.during()
	return changes, err
}

// TestRelayLeavesSuspendedReader guards against a follower that takes an old picture
// of the catalog from a reader whose machine was suspended after or while it read the
// store: the reader's monotonic clock did not count that time.
func TestRelayLeavesSuspendedReader(t *testing.T) {
	for _, isSuspendedDuringRead := range []bool{false, true} {
		name := "after the read"
		if isSuspendedDuringRead {
			name = "during the read"
		}
		t.Run(name, func(t *testing.T) {
			r := newRelayPair(t)
			ageClock := &suspendedClock{Clock: r.clock}
			suspend := func() { ageClock.suspend(5 * time.Second) }
			read := func() {
				for _, read := range []func() error{
					func() error { _, err := r.reader.EndpointChanges(t.Context(), 0, 0); return err },
					func() error { _, err := r.reader.OperatorChanges(t.Context(), 0, 0); return err },
				} {
					if err := read(); err != nil {
						t.Fatal(err)
					}
				}
			}
			catalog := &slowCatalog{Catalog: r.catalog, during: func() {}}
			if isSuspendedDuringRead {
				catalog.during = suspend
			}
			r.replaceReader(func(config *peer.CatalogRelayConfig) {
				config.Catalog, config.AgeClock = catalog, ageClock
			})
			read()
			if !isSuspendedDuringRead {
				suspend()
			}
			r.catalog.update(func(f *fakeCatalog) { f.reads = 0 })
			if _, err := r.follower.EndpointChanges(t.Context(), 5, 0); err != nil || r.catalog.reads != 1 {
				t.Errorf("follower read the endpoint list %d times from the store, want 1: %v", r.catalog.reads, err)
			}
			if _, err := r.follower.OperatorChanges(t.Context(), 4, 0); err != nil || r.catalog.reads != 2 {
				t.Errorf("follower read the catalog %d times from the store, want 2: %v", r.catalog.reads, err)
			}
		})
	}
}
