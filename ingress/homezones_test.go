package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// TestUnknownZoneIsNoHome guards against requests bound to a region at an endpoint in
// an availability zone whose region the settings do not state, and against an endpoint
// that keeps its region after it has moved to another zone.
func TestUnknownZoneIsNoHome(t *testing.T) {
	router := ingress.NewRouter(endpoint.Config{Self: "self"})
	router.SetRouting(boundRouting(1, "north"))
	watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"n": "north", "s": "south"}})
	proxy := ingress.NewProxy(ingress.ProxyConfig{
		Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Place: savorystep.Place{Region: "north", Zone: "n"}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: homeTransport{}, Router: router,
	})
	for i, c := range []struct {
		zone   savorystep.Zone
		status int
	}{{"n", http.StatusOK}, {"new", http.StatusServiceUnavailable}, {"n", http.StatusOK}, {"s", http.StatusServiceUnavailable}} {
		version := savorystep.CatalogVersion(i + 1) //nolint:gosec // There are few cases.
		entry := savorystep.Endpoint{ID: "e", Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: uint64(version), WrittenVersion: version, Place: savorystep.Place{Zone: c.zone}}
		watcher.ApplyList(time.Now(), savorystep.EndpointChanges{Version: version, Endpoints: []savorystep.Endpoint{entry}})
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
		request.Host = "h"
		proxy.ServeHTTP(recorder, request)
		if recorder.Code != c.status {
			t.Errorf("step %d, endpoint in zone %s: status %d, want %d", i+1, c.zone, recorder.Code, c.status)
		}
	}
}
