package peer_test

import (
	"slices"
	"testing"
	"time"

	"savorystep"
	"savorystep/peer"
)

// TestRelaySendsRestart guards against a follower that takes the first report of an endpoint
// which has started again for a further one of its earlier incarnation.
func TestRelaySendsRestart(t *testing.T) {
	r := newRelayPair(t)
	before := savorystep.Endpoint{ID: "a", Service: "s", Address: "10.0.0.1:1", StartedAtMillis: 7, Slots: 3, ReportSequence: 9, WrittenVersion: 3}
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 5, Endpoints: []savorystep.Endpoint{before}}
	})
	r.readAll(t)
	restarted := before
	restarted.StartedAtMillis, restarted.ReportSequence, restarted.WrittenVersion, restarted.ColdRemaining = 8, 1, 8, time.Second
	r.catalog.update(func(f *fakeCatalog) {
		f.endpoints = savorystep.EndpointChanges{Version: 9, Endpoints: []savorystep.Endpoint{restarted}}
	})
	if _, err := r.reader.EndpointChanges(t.Context(), 5, 0); err != nil {
		t.Fatal(err)
	}
	if whole, reports := peer.ResponseSizes(r.reader, 5); whole != 1 || reports != 0 {
		t.Errorf("%d whole entries and %d reports sent, want 1 and 0", whole, reports)
	}
	list, err := r.follower.EndpointChanges(t.Context(), 5, 0)
	if err != nil || !slices.Equal(list.Endpoints, []savorystep.Endpoint{restarted}) {
		t.Errorf("endpoint changes %+v, %v, want %+v", list, err, restarted)
	}
}
