package ingress_test

import (
	"testing"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// TestPrefersLocal guards against sending requests with large responses to other
// regions as readily as those with small ones. The mean response size of each
// route is tracked, and downloads are assumed to be large at first.
func TestPrefersLocal(t *testing.T) {
	router := ingress.NewRouter(endpoint.Config{Self: "self"})
	download := &savorystep.Route{Name: "download", Class: savorystep.RequestClassDownload}
	read := &savorystep.Route{Name: "read", Class: savorystep.RequestClassIdempotent}
	check := func(when string, route *savorystep.Route, bodyBytes int, want bool) {
		t.Helper()
		if got := router.PrefersLocal(route, bodyBytes); got != want {
			t.Errorf("%s: a request of route %s with a body of %d bytes prefers local endpoints: %v, want %v", when, route.Name, bodyBytes, got, want)
		}
	}
	check("at the start", download, 0, true)
	check("at the start", read, 0, false)
	check("at the start", read, 60<<10, true)
	for range 100 {
		router.ObserveResponse(download.Name, 2<<10)
		router.ObserveResponse(read.Name, 90<<10)
	}
	check("after small answers", download, 0, false)
	check("after large answers", read, 0, true)
	router.SetRouting(savorystep.NewRouting(1, []*savorystep.Route{download}, nil, savorystep.ClientLimits{}))
	check("after the route was removed", read, 0, false)
}
