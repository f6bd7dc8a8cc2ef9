package ingress_test

import (
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// TestDirectory guards against naming instances that leave, are not ready or
// are far away while near ones are ready.
func TestDirectory(t *testing.T) {
	member := func(name, region string, ready, leaving bool) savorystep.Member {
		return savorystep.Member{StatusFact: savorystep.StatusFact{
			Instance: savorystep.Instance{CallerAddress: savorystep.Address(name), Place: savorystep.Place{Region: savorystep.Region(region)}},
			Ready:    ready, Leaving: leaving,
		}}
	}
	members := []savorystep.Member{
		member("far", "south", true, false), member("leaving", "north", true, true),
		member("near", "north", true, false), member("unready", "north", false, false),
	}
	cases := []struct {
		name, region string
		members      []savorystep.Member
		want         []savorystep.Address
	}{
		{name: "all away", region: "north", members: members[1:2], want: nil},
		{name: "near", region: "north", members: members, want: []savorystep.Address{"near"}},
		{name: "none near", region: "west", members: members, want: []savorystep.Address{"far", "near"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ingress.NamedAmong(c.members, savorystep.Region(c.region))
			if len(got) != len(c.want) {
				t.Fatalf("%v, want %v", got, c.want)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Errorf("%v, want %v", got, c.want)
				}
			}
		})
	}
}

// TestSplit guards against parts of a split that get more or less than their
// weight.
func TestSplit(t *testing.T) {
	route := &savorystep.Route{Split: []savorystep.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for _, requests := range []int{1, 10, 37, 1000} {
		counts := ingress.Deal(route, requests)
		for service, share := range map[savorystep.Service]float64{"a": 0.9, "b": 0.1, "c": 0} {
			if off := float64(counts[service]) - share*float64(requests); off > 1 || off < -1 {
				t.Errorf("%d of %d requests go to %s", counts[service], requests, service)
			}
		}
	}
}

// TestListAfterOutage guards against endpoints that are dropped because their
// entries lapsed while the store was away, and against keeping those that stay
// away.
func TestListAfterOutage(t *testing.T) {
	_, _, steering := newFront(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: steering, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	usable := func() int {
		count := 0
		steering.WithTable(func(t *endpoint.Table) { count, _ = t.CountEndpoints(now, "s") })
		return count
	}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 2})
	now = now.Add(time.Second)
	watcher.FailList(now)
	now = now.Add(4 * time.Second)
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 9, Removed: []savorystep.EndpointID{"a", "b"}})
	if usable() != 3 {
		t.Errorf("%d endpoints right after the outage, want 3", usable())
	}
	now = now.Add(time.Second)
	back := savorystep.Endpoint{ID: "a", Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 5, WrittenVersion: 11, Place: savorystep.Place{Zone: "z"}}
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 11, Endpoints: []savorystep.Endpoint{back}})
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

// TestListAfterPause guards against an endpoint that is used on after it left,
// because this instance or its reader did not run for some seconds. The store
// answered all the while, so nothing lapsed for lack of it.
func TestListAfterPause(t *testing.T) {
	_, _, steering := newFront(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: steering, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"z": "r"}})
	now := time.Now()
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 2})
	now = now.Add(5 * time.Second)
	watcher.ApplyList(now, savorystep.EndpointChanges{Version: 9, Removed: []savorystep.EndpointID{"a"}})
	steering.WithTable(func(table *endpoint.Table) {
		if all, _ := table.CountEndpoints(now, "s"); all != 2 {
			t.Errorf("%d endpoints after a removal, want 2", all)
		}
	})
}

// TestFullOrdersReturnZones guards against a zone that stays evacuated because
// the history with its return was dropped.
func TestFullOrdersReturnZones(t *testing.T) {
	_, _, steering := newFront(t, "ok")
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: steering, Clock: savorystep.SystemClock{}})
	watcher.ApplyOrders(time.Now(), savorystep.OperatorChanges{Version: 1, EvacuatedZones: []savorystep.Zone{"z", "y"}})
	watcher.ApplyOrders(time.Now(), savorystep.OperatorChanges{Version: 2, Full: true, EvacuatedZones: []savorystep.Zone{"y"}})
	var zones []savorystep.Zone
	steering.WithTable(func(t *endpoint.Table) { zones = t.EvacuatedZones() })
	if len(zones) != 1 || zones[0] != "y" {
		t.Errorf("zones %v are evacuated, want y", zones)
	}
}
