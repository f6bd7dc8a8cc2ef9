package cmd

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/ingress"
	"savorystep/platform"
)

// TestGatewayStatus guards against an excluded endpoint that operators don't find in the
// status and the metrics of a gateway, or without the reason and the time that is left.
func TestGatewayStatus(t *testing.T) {
	settings, err := platform.ParseSettings([]byte(validGatewaySettings))
	if err != nil {
		t.Fatal(err)
	}
	g, err := buildGateway(settings, gatewayOptions{})
	if err != nil {
		t.Fatal(err)
	}
	now := g.clock.Now()
	g.router.WithTable(func(table *endpoint.Table) {
		for _, id := range []savorystep.EndpointID{"closed", "leaving", "usable"} {
			table.Put(now, savorystep.Endpoint{ID: id, Service: "s", State: savorystep.StateLive, Slots: 3, Place: savorystep.Place{Zone: "z"}, StartedAtMillis: 1})
		}
		table.RecordRetryAfter(now, endpoint.Choice{Endpoint: savorystep.Endpoint{ID: "closed", StartedAtMillis: 1}}, time.Minute)
		table.ApplyLeaving(now, "leaving", 1)
	})
	server := httptest.NewServer(g.metricsHandler())
	defer server.Close()
	status, err := fetchGatewayStatus(t.Context(), savorystep.Address(strings.TrimPrefix(server.URL, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	if len(status.Excluded) != 2 || status.Excluded[0].EndsInMillis == nil || *status.Excluded[0].EndsInMillis < 50_000 || status.Excluded[1].EndsInMillis != nil {
		t.Errorf("excluded endpoints %+v, want closed for about a minute and leaving without an end", status.Excluded)
	}
	var out bytes.Buffer
	printGatewayStatus(&out, status)
	for _, want := range []string{"s\tclosed\tz\tclosed\t5", "s\tleaving\tz\tleaving\t-"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, out.String())
		}
	}
	recorder := httptest.NewRecorder()
	g.metricsHandler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	for _, want := range []string{`excluded_endpoints{reason="closed"} 1`, `excluded_endpoints{reason="leaving"} 1`, `excluded_endpoints{reason="backoff"} 0`} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}

// TestClearCommand guards against a quarantine that operators don't find, or can't end.
func TestClearCommand(t *testing.T) {
	settings, err := platform.ParseSettings([]byte(validGatewaySettings))
	if err != nil {
		t.Fatal(err)
	}
	g, err := buildGateway(settings, gatewayOptions{})
	if err != nil {
		t.Fatal(err)
	}
	log := crashLogOf{{Fingerprint: 0xc296, Streak: 3, LastCrashMillis: time.Now().UnixMilli(), Request: "GET h/poison"}}
	keeper := ingress.NewQuarantineKeeper(ingress.QuarantineKeeperConfig{Clock: g.clock, CrashLog: log, Quarantine: g.quarantine, StoreEra: g.client.Era})
	ctx, cancel := context.WithCancel(t.Context())
	done := keeper.Start(ctx)
	for len(g.quarantine.Quarantined(g.clock.Now())) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	server := httptest.NewServer(g.metricsHandler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	runCommand := func(args ...string) string {
		t.Helper()
		var out bytes.Buffer
		root := newRootCmd()
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(args)
		if err := root.ExecuteContext(t.Context()); err != nil {
			t.Errorf("%v: %v", args, err)
		}
		return out.String()
	}
	if out := runCommand("status", "--gateway", address); !strings.Contains(out, "GET h/poison") || !strings.Contains(out, "c296") {
		t.Errorf("the status lacks the quarantined request:\n%s", out)
	}
	if out := runCommand("clear", "c296", "--gateway", address); !strings.Contains(out, "c296 is forwarded again") {
		t.Errorf("output %q of the command", out)
	}
	if left := g.quarantine.Quarantined(g.clock.Now()); len(left) != 0 {
		t.Errorf("%+v still quarantined", left)
	}
}

// A crashLogOf is a crash log that does not change.
type crashLogOf []savorystep.RequestCrashes

func (l crashLogOf) Edit(_ context.Context, edit func([]savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool)) error {
	edit(l)
	return nil
}
