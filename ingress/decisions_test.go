package ingress_test

import (
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// TestWeightedSplit guards against services whose number of requests differs from
// their weight by more than one request.
func TestWeightedSplit(t *testing.T) {
	route := &savorystep.Route{Split: []savorystep.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for _, requests := range []int{1, 10, 37, 1000} {
		counts := ingress.SplitRequests(route, requests)
		for service, share := range map[savorystep.Service]float64{"a": 0.9, "b": 0.1, "c": 0} {
			if difference := float64(counts[service]) - share*float64(requests); difference > 1 || difference < -1 {
				t.Errorf("%d of %d requests are sent to service %s, want a share of %v", counts[service], requests, service, share)
			}
		}
	}
}

// TestRelistGraceAfterOutage guards against dropping endpoints whose entries expired
// only because the store was down, and against keeping those that are not listed
// again.
func TestRelistGraceAfterOutage(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	usable := func() int {
		count := 0
		router.WithTable(func(t *endpoint.Table) { count, _ = t.CountEndpoints(now, "s") })
		return count
	}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 2})
	now = now.Add(time.Second)
	watcher.RecordListFailure(now)
	now = now.Add(4 * time.Second)
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 9, Removed: []savorystep.EndpointID{"a", "b"}})
	if usable() != 3 {
		t.Errorf("%d endpoints immediately after the outage, want 3", usable())
	}
	now = now.Add(time.Second)
	relisted := savorystep.Endpoint{ID: "a", Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 5, WrittenVersion: 11, Place: savorystep.Place{Zone: "z"}}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 11, Endpoints: []savorystep.Endpoint{relisted}})
	now = now.Add(time.Second)
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 12})
	if usable() != 2 {
		t.Errorf("%d endpoints two seconds later, want 2", usable())
	}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 13, Removed: []savorystep.EndpointID{"a"}})
	if usable() != 1 {
		t.Errorf("%d endpoints after a removal, want 1", usable())
	}
}

// TestNoRelistGraceAfterPause guards against sending requests to an endpoint that
// has left because this instance did not read the list for some seconds. The store
// was up all the time, so no entry expired because of an outage.
func TestNoRelistGraceAfterPause(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 2})
	now = now.Add(5 * time.Second)
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 9, Removed: []savorystep.EndpointID{"a"}})
	router.WithTable(func(table *endpoint.Table) {
		if total, _ := table.CountEndpoints(now, "s"); total != 2 {
			t.Errorf("%d endpoints after a removal, want 2", total)
		}
	})
}

// TestFullOperatorChangesEndEvacuations guards against a zone that stays evacuated because
// the end of its evacuation is no longer in the history of the store. The changes
// are then marked as full and list all zones that are still evacuated.
func TestFullOperatorChangesEndEvacuations(t *testing.T) {
	_, _, router := newTestProxy(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}})
	watcher.ApplyOperatorChanges(time.Now(), savorystep.OperatorChanges{Version: 1, EvacuatedZones: []savorystep.Zone{"z", "y"}})
	watcher.ApplyOperatorChanges(time.Now(), savorystep.OperatorChanges{Version: 2, Full: true, EvacuatedZones: []savorystep.Zone{"y"}})
	var zones []savorystep.Zone
	router.WithTable(func(t *endpoint.Table) { zones = t.EvacuatedZones() })
	if len(zones) != 1 || zones[0] != "y" {
		t.Errorf("zones %v are evacuated, want y", zones)
	}
}
