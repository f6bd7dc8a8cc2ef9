package upstream_test

import (
	"fmt"
	"testing"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// runFailover sends requests to a service whose home region has no usable
// endpoint. It returns how many requests run in the other region and how many
// were rejected.
func runFailover(t *testing.T, ramp upstream.RampConfig) (running savorystep.Slots, refused int) {
	t.Helper()
	const requests = 20
	tb := newTestbed(t)
	target := tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: requests})
	target.SetFaults(standin.UpstreamFaults{Hold: true})
	p := tb.newPool(func(c *upstream.Config) { c.Limits.Ramp = ramp })
	results := make(chan forwardResult, requests)
	for i := range requests {
		request := get(savorystep.RequestID(fmt.Sprint("r", i)), "/echo")
		request.Record = record("natal", "recife")
		request.Home = "recife"
		tb.forwardAsync(p, request, results)
	}
	tb.eventually("all requests run or are rejected", func() bool {
		return int(target.Load().Busy)+len(results) == requests
	})
	running = target.Load().Busy
	refused = len(results)
	target.SetFaults(standin.UpstreamFaults{})
	for range requests {
		if result := <-results; result.err != nil && savorystep.KindOf(result.err) != savorystep.KindOverloaded {
			t.Errorf("request %s ended with %v, want no error or kind Overloaded", result.id, result.err)
		}
	}
	return running, refused
}

// TestFailoverGrowth guards against sending the whole traffic of a lost region
// to the cold caches of another region at once. The second case shows that the
// ramp is what limits the requests.
func TestFailoverGrowth(t *testing.T) {
	cases := []struct {
		name    string
		ramp    upstream.RampConfig
		limited bool
	}{
		{name: "default", limited: true},
		{name: "without limit", ramp: upstream.RampConfig{MinAllowance: 1000}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			running, refused := runFailover(t, c.ramp)
			if limited := refused > 0; limited != c.limited {
				t.Errorf("%d requests run and %d were rejected, want a rejection only with the limit", running, refused)
			}
		})
	}
}
