package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// TestRestartEndsGrace guards against an endpoint that was missing from the list after an
// outage of the store and has started again since: it must stay usable when the grace of its
// earlier incarnation ends.
func TestRestartEndsGrace(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 2})
	watcher.RecordListFailure(now)
	now = now.Add(4 * time.Second)
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 9, Removed: []savorystep.EndpointID{"a", "b", "c"}})
	now = now.Add(time.Second)
	restarted := savorystep.Endpoint{ID: "a", Service: "s", State: savorystep.StateLive, Slots: 3, StartedAtMillis: 1, ReportSequence: 1, WrittenVersion: 11, Place: savorystep.Place{Zone: "z"}}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 11, Endpoints: []savorystep.Endpoint{restarted}})
	now = now.Add(2 * time.Second)
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 12})
	router.WithTable(func(table *endpoint.Table) {
		if all, usable := table.CountEndpoints(now, "s"); all != 1 || usable != 1 {
			t.Errorf("%d endpoints and %d usable ones after the grace, want the restarted one", all, usable)
		}
	})
}

// A restartingTransport simulates endpoints that crash with each request and have started
// again under their ids before the next one.
type restartingTransport struct {
	runs int
	// relist lists the next start of an endpoint while a request runs. It is nil if the list
	// goes on naming the first one.
	relist func(e savorystep.Endpoint)
}

func (r *restartingTransport) Exchange(_ context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	r.runs++
	if r.relist != nil {
		r.relist(e)
	}
	return nil, &http1.ExchangeError{Stage: http1.StageSent, ClosedByEndpoint: true, Cause: io.EOF}
}

// TestCrashesOfUnlistedIncarnations guards against a request that is not quarantined by all
// instances, because the endpoints that it crashes start again under their ids, and the list
// names their new starts while the request runs or not at all.
func TestCrashesOfUnlistedIncarnations(t *testing.T) {
	for _, isRelisted := range []bool{false, true} {
		t.Run(fmt.Sprint("relisted ", isRelisted), func(t *testing.T) {
			transport := &restartingTransport{}
			proxies, routers := newHerdProxies(t, transport)
			routers[0].WithTable(func(table *endpoint.Table) {
				// Two endpoints are left, which fail twice before their backoff.
				for _, e := range table.IDs() {
					if e != "e0" && e != "e1" {
						table.Remove(time.Now(), e)
					}
				}
			})
			if isRelisted {
				transport.relist = func(e savorystep.Endpoint) {
					e.StartedAtMillis, e.WrittenVersion = e.StartedAtMillis+1, e.WrittenVersion+1
					routers[0].WithTable(func(table *endpoint.Table) { table.Put(time.Now(), e) })
				}
			}
			for n := range 6 {
				sendAttempt(t, proxies[0], strconv.Itoa(n))
			}
			if transport.runs != 3 {
				t.Errorf("%d runs, want 3", transport.runs)
			}
			if status := sendAttempt(t, proxies[1], "other"); status != http.StatusServiceUnavailable || transport.runs != 3 {
				t.Errorf("status %d of the request to another instance after %d runs, want 503 after 3", status, transport.runs)
			}
		})
	}
}
