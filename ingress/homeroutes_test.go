package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// A recordingTransport records the endpoints of all exchanges and breaks them off.
type recordingTransport struct {
	before    func()
	endpoints []savorystep.Endpoint
}

func (t *recordingTransport) Exchange(_ context.Context, e savorystep.Endpoint, _ *http1.Request) (*http1.Response, error) {
	t.before()
	t.endpoints = append(t.endpoints, e)
	return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: errReset}
}

// TestRouteChangeWhileRequestWaits guards against an attempt that no routing allows:
// with the service of the former route and the homes of the route that matches now,
// because the route was dropped or moved to another service while the request waited
// for its body or a retry. After the body has come, the routing in force counts.
func TestRouteChangeWhileRequestWaits(t *testing.T) {
	route := func(name savorystep.RouteName, prefix string, service savorystep.Service, homes ...savorystep.Region) *savorystep.Route {
		return &savorystep.Route{
			Name: name, Host: "h", Prefix: prefix, Class: savorystep.RequestClassIdempotent, MaxAttempts: 3, Timeout: time.Minute,
			Split: []savorystep.WeightedService{{Service: service, Weight: 1}}, Regions: homes,
		}
	}
	rest := route("rest", "/", "other")
	cases := []struct {
		name          string
		before, after []*savorystep.Route
	}{
		{name: "route dropped", before: []*savorystep.Route{route("bound", "/p/", "s", "north"), rest}, after: []*savorystep.Route{rest}},
		{name: "service and home moved", before: []*savorystep.Route{route("bound", "/p/", "s", "north")}, after: []*savorystep.Route{route("bound", "/p/", "other", "south")}},
		{name: "all routes dropped", before: []*savorystep.Route{route("bound", "/p/", "s", "north")}},
		{name: "home moved", before: []*savorystep.Route{route("bound", "/p/", "s", "north")}, after: []*savorystep.Route{route("bound", "/p/", "s", "south")}},
	}
	for _, c := range cases {
		for _, changesAtAttempt := range []bool{false, true} {
			name := c.name + " while the body arrives"
			if changesAtAttempt {
				name = c.name + " between attempts"
			}
			t.Run(name, func(t *testing.T) {
				specs := map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}, "other": {Name: "other"}}
				routings := []*savorystep.Routing{savorystep.NewRouting(1, c.before, specs, savorystep.ClientLimits{}), savorystep.NewRouting(2, c.after, specs, savorystep.ClientLimits{})}
				router := ingress.NewRouter(endpoint.Config{Self: "self", RetryRatio: 1, RetrySlack: 56, RetryWindow: 10 * time.Second})
				router.SetRouting(routings[0])
				watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"n": "north", "s": "south"}})
				changes := savorystep.EndpointChanges{Version: 1, Full: true}
				for _, id := range []savorystep.EndpointID{"n1", "s1", "s2", "n-other", "s-other"} {
					service := savorystep.Service("s")
					if strings.HasSuffix(string(id), "other") {
						service = "other"
					}
					changes.Endpoints = append(changes.Endpoints, savorystep.Endpoint{
						ID: id, Service: service, State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: savorystep.Zone(id[:1])},
					})
				}
				watcher.ApplyList(time.Now(), changes)
				change := func() { router.SetRouting(routings[1]) }
				transport, body := &recordingTransport{before: func() {}}, &hookedReader{Reader: strings.NewReader("body"), before: change}
				if changesAtAttempt {
					transport.before, body.before = change, func() {}
				}
				proxy := ingress.NewProxy(ingress.ProxyConfig{
					Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Place: savorystep.Place{Region: "south", Zone: "s"}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: transport, Router: router,
				})
				request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/p/q", io.Reader(body))
				request.Host = "h"
				proxy.ServeHTTP(httptest.NewRecorder(), request)
				allowing := routings
				if !changesAtAttempt && routings[1].Match("h", "/p/q") != nil {
					// The request was sent to no endpoint yet.
					allowing = routings[1:]
				}
				if len(transport.endpoints) == 0 {
					t.Error("request was sent to no endpoint")
				}
				for i, e := range transport.endpoints {
					isAllowed := slices.ContainsFunc(allowing, func(r *savorystep.Routing) bool {
						matched := r.Match("h", "/p/q")
						return matched != nil && matched.Split[0].Service == e.Service && (len(matched.Regions) == 0 || slices.Contains(matched.Regions, e.Place.Region))
					})
					if !isAllowed {
						t.Errorf("attempt %d went to service %s in region %s, which no routing that counts allows", i+1, e.Service, e.Place.Region)
					}
				}
			})
		}
	}
}
