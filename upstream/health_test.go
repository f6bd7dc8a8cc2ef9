package upstream_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/upstream"
)

// TestHealthScripts runs testdata/health. Each line of a "region" command is
// "<seconds> <endpoint> <event>". The event "show" prints for each endpoint how
// many of its 3 slots may be used, or why it is not used.
func TestHealthScripts(t *testing.T) {
	const endpoints = 3
	datadriven.RunTest(t, "testdata/health", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		healths := make([]*upstream.Health, endpoints)
		for i := range healths {
			healths[i] = upstream.NewHealth(upstream.HealthLimits{})
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var seconds float64
			var endpoint int
			var event string
			if _, err := fmt.Sscan(line, &seconds, &endpoint, &event); err != nil {
				d.Fatalf(t, "%q: %v", line, err)
			}
			now := steerStart.Add(time.Duration(seconds * float64(time.Second)))
			if event == "show" {
				showHealths(&out, seconds, healths, now)
				continue
			}
			applyEvent(t, d, healths[endpoint], event, now)
		}
		return out.String()
	})
}

// applyEvent applies one event of a script.
func applyEvent(t *testing.T, d *datadriven.TestData, health *upstream.Health, event string, now time.Time) {
	t.Helper()
	switch event {
	case "fail":
		health.RecordFailure(now, true)
	case "fail-withheld":
		health.RecordFailure(now, false)
	case "list-leaving":
		health.SetListedState(savorystep.StateLeaving)
	case "page-busy":
		health.RecordLoadPage(now, upstream.LoadPage{Busy: 3, Healthy: true}, 0)
	case "page-draining":
		health.RecordLoadPage(now, upstream.LoadPage{Draining: true, Healthy: true}, 0)
	case "page-idle":
		health.RecordLoadPage(now, upstream.LoadPage{Healthy: true}, 3)
	case "page-healthy":
		health.RecordLoadPage(now, upstream.LoadPage{Healthy: true}, 0)
	case "page-unhealthy":
		health.RecordLoadPage(now, upstream.LoadPage{}, 0)
	case "peer-draining":
		health.RecordPeerDraining(now)
	case "shed":
		health.RecordShed(now)
	case "start":
		health.BeginSlowStart(now)
	case "succeed":
		health.RecordSuccess(now)
	default:
		d.Fatalf(t, "unknown event %q", event)
	}
}

// showHealths writes one line with the state of all endpoints.
func showHealths(out *strings.Builder, seconds float64, healths []*upstream.Health, now time.Time) {
	assessment := upstream.Assess(healths, now)
	fmt.Fprintf(out, "%gs:", seconds)
	for _, h := range healths {
		state := fmt.Sprint(h.Capacity(now, 3) - h.Undercount(now, 3))
		if h.Paused(now) {
			state = "paused"
		}
		if !h.Usable(now, assessment.TrustLoadPages) {
			state = "unusable"
		}
		fmt.Fprintf(out, " %s", state)
	}
	if assessment.MostEndpointsDead {
		out.WriteString(" most-endpoints-dead")
	}
	if !assessment.TrustLoadPages {
		out.WriteString(" pages-not-trusted")
	}
	out.WriteString("\n")
}
