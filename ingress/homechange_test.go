package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
	"savorystep/ingress"
)

// boundRouting returns a routing with one route for idempotent requests, bound to a
// region.
func boundRouting(revision savorystep.Revision, home savorystep.Region) *savorystep.Routing {
	route := &savorystep.Route{
		Name: "bound", Host: "h", Prefix: "/", Class: savorystep.RequestClassIdempotent, MaxAttempts: 3, Timeout: time.Minute,
		Split: []savorystep.WeightedService{{Service: "s", Weight: 1}}, Regions: []savorystep.Region{home},
	}
	return savorystep.NewRouting(revision, []*savorystep.Route{route}, map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s"}}, savorystep.ClientLimits{})
}

// A hookedTransport calls before ahead of each exchange. The first exchange breaks
// off if breaksOff is true.
type hookedTransport struct {
	homeTransport
	before    func()
	breaksOff bool
}

func (t *hookedTransport) Exchange(ctx context.Context, e savorystep.Endpoint, r *http1.Request) (*http1.Response, error) {
	t.before()
	if t.breaksOff {
		t.breaksOff = false
		return nil, &http1.ExchangeError{Stage: http1.StageSent, Cause: errReset}
	}
	return t.homeTransport.Exchange(ctx, e, r)
}

// A hookedReader calls before ahead of each read.
type hookedReader struct {
	io.Reader
	before func()
}

func (r *hookedReader) Read(p []byte) (int, error) {
	r.before()
	return r.Reader.Read(p)
}

// TestHomeChangeWhileRequestWaits guards against an attempt in the former home of a
// route whose home changed after the request came: while its body arrived, or
// between two attempts.
func TestHomeChangeWhileRequestWaits(t *testing.T) {
	cases := []struct {
		name string
		// changesBeforeAttempt is true if the home changes during the first attempt
		// instead of during the arrival of the body.
		changesBeforeAttempt bool
		// isRestored is true if the new home is in a restored store, at the same
		// revision.
		isRestored bool
	}{
		{name: "between attempts", changesBeforeAttempt: true},
		{name: "between attempts in a restored store", changesBeforeAttempt: true, isRestored: true},
		{name: "while the body arrives"},
		{name: "while the body arrives in a restored store", isRestored: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			router := ingress.NewRouter(endpoint.Config{Self: "self", RetryRatio: 1, RetrySlack: 56, RetryWindow: 10 * time.Second})
			router.SetRouting(boundRouting(1, "north"))
			watcher := ingress.NewWatcher(ingress.WatcherConfig{Router: router, Clock: savorystep.SystemClock{}, RegionByZone: map[savorystep.Zone]savorystep.Region{"n": "north", "s": "south"}})
			changes := savorystep.EndpointChanges{Version: 1, Full: true}
			for _, id := range []savorystep.EndpointID{"n1", "n2", "s1", "s2"} {
				changes.Endpoints = append(changes.Endpoints, savorystep.Endpoint{
					ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, ReportSequence: 1, WrittenVersion: 1, Place: savorystep.Place{Zone: savorystep.Zone(id[:1])},
				})
			}
			watcher.ApplyList(time.Now(), changes)
			moveHome := func() { router.SetRouting(boundRouting(2, "south")) }
			if c.isRestored {
				moveHome = func() { router.RestoreRouting(boundRouting(1, "south")) }
			}
			transport, body := &hookedTransport{before: func() {}}, &hookedReader{Reader: strings.NewReader("body"), before: moveHome}
			if c.changesBeforeAttempt {
				transport.before, transport.breaksOff, body.before = moveHome, true, func() {}
			}
			proxy := ingress.NewProxy(ingress.ProxyConfig{
				Clock: savorystep.SystemClock{}, HeaderNames: names, Endings: ingress.NewEndings(&fakeFacts{}, router), Leavings: ingress.NewLeavings(&fakeFacts{}, router), Notices: noticeDecoder{}, Place: savorystep.Place{Region: "north", Zone: "n"}, Quarantine: ingress.NewQuarantine(&fakeFacts{}, nil), RateLimits: ingress.NewRateLimits(&fakeFacts{}, router), Transport: transport, Router: router,
			})
			recorder := httptest.NewRecorder()
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/p?q", body)
			request.Host = "h"
			proxy.ServeHTTP(recorder, request)
			if region := recorder.Header().Get("Ran-In"); recorder.Code != http.StatusOK || region != "south" {
				t.Errorf("status %d, ran in %q, want 200 in south, the home since the request came", recorder.Code, region)
			}
		})
	}
}
