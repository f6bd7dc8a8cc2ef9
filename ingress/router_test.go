package ingress_test

import (
	"testing"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
)

// TestNear guards against large answers that cross regions as freely as small
// ones: the size of a route's answers is learned, and downloads are taken for
// large until then.
func TestNear(t *testing.T) {
	steering := ingress.NewRouter(endpoint.Config{Self: "self"})
	download := &savorystep.Route{Name: "download", Class: savorystep.RequestClassDownload}
	read := &savorystep.Route{Name: "read", Class: savorystep.RequestClassIdempotent}
	check := func(when string, route *savorystep.Route, body int, want bool) {
		t.Helper()
		if got := steering.IsNear(route, body); got != want {
			t.Errorf("%s: a request of %s with %d bytes is near: %v, want %v", when, route.Name, body, got, want)
		}
	}
	check("at the start", download, 0, true)
	check("at the start", read, 0, false)
	check("at the start", read, 60<<10, true)
	for range 100 {
		steering.NoteAnswer(download.Name, 2<<10)
		steering.NoteAnswer(read.Name, 90<<10)
	}
	check("after small answers", download, 0, false)
	check("after large answers", read, 0, true)
	steering.SetRouting(savorystep.NewRouting(1, []*savorystep.Route{download}, nil, savorystep.ClientLimits{}))
	check("after the route was removed", read, 0, false)
}
