package endpoint_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/endpoint"
)

// A script holds a table and the present time of a scripted test.
type script struct {
	table *endpoint.Table
	now   time.Time
	// open are the choices at each endpoint that have not ended.
	open map[savorystep.EndpointID][]endpoint.Choice
}

// TestTable runs the scripts of testdata/table. Each names the failure that it
// guards against.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			return s.run(t, d)
		})
	})
}

// run carries out one command.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "new":
		s.create(d)
	case "instances":
		ids := []savorystep.InstanceID{"self"}
		var others int
		d.ScanArgs(t, "others", &others)
		for i := range others {
			ids = append(ids, savorystep.InstanceID(fmt.Sprintf("other-%d", i)))
		}
		s.table.SetInstances(s.now, ids)
	case "put":
		return s.put(t, d)
	case "remove":
		return fmt.Sprintln(s.table.Remove(s.now, savorystep.EndpointID(arg(t, d, "id"))))
	case "evacuate":
		s.table.Evacuate(savorystep.Zone(arg(t, d, "zone")))
	case "return":
		s.table.EndEvacuation(s.now, savorystep.Zone(arg(t, d, "zone")))
	case "wait":
		wait, err := time.ParseDuration(arg(t, d, "for"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(wait)
	case "choose":
		return s.choose(t, d)
	case "end":
		s.end(t, d)
	case "repeat":
		return s.repeat(t, d)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

func (s *script) create(d *datadriven.TestData) {
	config := endpoint.Config{Self: "self", ColdFactor: 1.5, ColdSlack: 5, RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second}
	s.table = endpoint.NewTable(config)
	s.open = make(map[savorystep.EndpointID][]endpoint.Choice)
	s.table.SetSpecs(map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s", ColdRate: 7.6, Warmup: 3 * time.Second}})
	_ = d
}

// arg returns an argument, or the empty text.
func arg(t *testing.T, d *datadriven.TestData, key string) string {
	t.Helper()
	var value string
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

// number returns a numeric argument, or zero.
func number(t *testing.T, d *datadriven.TestData, key string) int {
	t.Helper()
	var value int
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

func (s *script) put(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	entry := savorystep.Endpoint{
		Service: "s", State: savorystep.StateLive, Slots: 3, Address: "10.0.0.1:1",
		Place:           savorystep.Place{Region: "r", Zone: "z"},
		StartedAtMillis: int64(number(t, d, "born")),
		ReportSequence:  uint64(number(t, d, "sequence")),
		WrittenVersion:  savorystep.CatalogVersion(number(t, d, "written")),
		ColdRemaining:   time.Duration(number(t, d, "cold")) * time.Millisecond,
	}
	if zone := arg(t, d, "zone"); zone != "" {
		entry.Place.Zone = savorystep.Zone(zone)
	}
	if region := arg(t, d, "region"); region != "" {
		entry.Place.Region = savorystep.Region(region)
	}
	if d.HasArg("leaving") {
		entry.State = savorystep.StateLeaving
	}
	var out []string
	for id := range strings.SplitSeq(arg(t, d, "id"), "+") {
		entry.ID = savorystep.EndpointID(id)
		out = append(out, fmt.Sprintf("%s %v", id, s.table.Put(s.now, entry)))
	}
	return strings.Join(out, "\n") + "\n"
}

// choose makes choices for one object and shows them with their reasons. With
// gap, the time between two choices passes.
func (s *script) choose(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	query := endpoint.Query{Service: "s", AffinityKey: uint64(number(t, d, "key")), Local: savorystep.Place{Region: "home", Zone: savorystep.Zone(arg(t, d, "home"))}, PreferLocal: d.HasArg("near")}
	if region := arg(t, d, "regions"); region != "" {
		query.AllowedRegions = []savorystep.Region{savorystep.Region(region)}
	}
	query.TimeLeft = time.Duration(number(t, d, "left")) * time.Millisecond
	times := max(1, number(t, d, "times"))
	counts := make(map[string]int)
	var order []string
	for range times {
		line := "none"
		choice, ok := s.table.Choose(s.now, query)
		switch {
		case ok:
			line = fmt.Sprintf("%s %s", choice.Endpoint.ID, choice.Reason)
			s.open[choice.Endpoint.ID] = append(s.open[choice.Endpoint.ID], choice)
		case choice.ExpectedLatency > 0:
			line = fmt.Sprintf("none before %v", choice.ExpectedLatency.Round(time.Millisecond))
		}
		if !slices.Contains(order, line) {
			order = append(order, line)
		}
		counts[line]++
		s.now = s.now.Add(time.Duration(number(t, d, "gap")) * time.Millisecond)
	}
	var out strings.Builder
	for _, line := range order {
		fmt.Fprintf(&out, "%s x%d\n", line, counts[line])
	}
	return out.String()
}

func (s *script) end(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	outcomes := map[string]endpoint.Outcome{
		"answered": endpoint.OutcomeAnswered, "broken": endpoint.OutcomeBrokenResponse, "failed": endpoint.OutcomeFailed,
		"gone": endpoint.OutcomeMisdirected, "left": endpoint.OutcomeCancelled, "refused": endpoint.OutcomeConnectFailed,
		"shed": endpoint.OutcomeShed, "silent": endpoint.OutcomeTimedOut,
	}
	outcome, ok := outcomes[arg(t, d, "outcome")]
	if !ok {
		d.Fatalf(t, "unknown outcome")
	}
	var load *endpoint.Load
	if text := arg(t, d, "load"); text != "" {
		told, ok := endpoint.ParseLoad(strings.ReplaceAll(text, "/", ","))
		if !ok {
			d.Fatalf(t, "load %q", text)
		}
		load = &told
	}
	id := savorystep.EndpointID(arg(t, d, "id"))
	for range max(1, number(t, d, "times")) {
		choice := endpoint.Choice{Endpoint: savorystep.Endpoint{ID: id}}
		if open := s.open[id]; len(open) > 0 {
			choice, s.open[id] = open[0], open[1:]
		}
		s.table.Finish(s.now, choice, outcome, load)
	}
}

// repeat counts requests and shows how many repeats are allowed after them.
func (s *script) repeat(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	for range number(t, d, "requests") {
		s.table.CountRequest(s.now, "s")
	}
	allowed := 0
	for allowed < 1000 && s.table.AllowRetry(s.now, "s") {
		allowed++
	}
	return fmt.Sprintf("%d repeats\n", allowed)
}
