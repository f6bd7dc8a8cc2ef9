package ingress_test

import (
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// TestDescribeNoEndpoint guards against a refused request whose log line does not say
// which reasons exclude how many endpoints, and for how long.
func TestDescribeNoEndpoint(t *testing.T) {
	proxy, _, router := newTestProxy(t, "ok")
	now := time.Now().Add(10 * time.Second)
	query := endpoint.Query{Service: "s", AffinityKey: 1, AttemptedEndpoints: []savorystep.EndpointID{"c"}}
	var choice endpoint.Choice
	router.WithTable(func(table *endpoint.Table) {
		table.RecordRetryAfter(now, endpoint.Choice{Endpoint: savorystep.Endpoint{ID: "a"}}, 2*time.Second)
		table.ApplyLeaving(now, "b", 0)
		var ok bool
		if choice, ok = table.Choose(now, query); ok {
			t.Errorf("endpoint %s was chosen, want none", choice.Endpoint.ID)
		}
	})
	const want = "no endpoint has room, 1 of 3 can get requests, excluded: leaving 1, attempted 1, closed 1 for 2s"
	if got := proxy.DescribeNoEndpoint(now, query, choice); got != want {
		t.Errorf("step %q, want %q", got, want)
	}
}
