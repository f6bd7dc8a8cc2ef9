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

// A script is a table with the virtual time of a scripted test.
type script struct {
	table *endpoint.Table
	now   time.Time
	// inFlight holds the choices at each endpoint that are not finished, the oldest
	// first.
	inFlight map[savorystep.EndpointID][]endpoint.Choice
}

// TestTable runs the scripts in testdata/table. The comment at the head of a script
// says which failure it guards against.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1000, 0)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			return s.run(t, d)
		})
	})
}

// run executes one command and returns its output.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "new":
		s.createTable(d)
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
	case "put-pending":
		s.table.PutPending(s.now)
	case "evacuate":
		s.table.Evacuate(savorystep.Zone(arg(t, d, "zone")))
	case "end-evacuation":
		s.table.EndEvacuation(s.now, savorystep.Zone(arg(t, d, "zone")))
	case "advance":
		step, err := time.ParseDuration(arg(t, d, "by"))
		if err != nil {
			d.Fatalf(t, "advance: %v", err)
		}
		s.now = s.now.Add(step)
	case "choose":
		return s.choose(t, d)
	case "finish":
		s.finish(t, d)
	case "respond":
		return s.respond(t, d)
	case "peer-limit":
		return formatReport(s.table.ApplyRateLimit(s.now, savorystep.EndpointID(arg(t, d, "id")), int64(intArg(t, d, "started")), statementArg(t, d)))
	case "respond-leaving":
		return s.respondLeaving(t, d)
	case "reject":
		return s.reject(t, d)
	case "peer-leaving":
		return formatNews(s.table.ApplyLeaving(s.now, savorystep.EndpointID(arg(t, d, "id")), int64(intArg(t, d, "started"))))
	case "ended":
		id, started := savorystep.EndpointID(arg(t, d, "id")), int64(intArg(t, d, "started"))
		if s.table.RecordEnded(s.now, savorystep.Endpoint{ID: id, StartedAtMillis: started}) {
			return "to be reported\n"
		}
		return "not to be reported\n"
	case "running":
		e := savorystep.Endpoint{ID: savorystep.EndpointID(arg(t, d, "id")), StartedAtMillis: int64(intArg(t, d, "started"))}
		opened := s.now.Add(-time.Duration(intArg(t, d, "opened")) * time.Millisecond)
		if s.table.RecordRunning(s.now, e, opened) {
			return "to be reported\n"
		}
		return "not to be reported\n"
	case "cold":
		return s.cold(t, d)
	case "silent":
		id, started := savorystep.EndpointID(arg(t, d, "id")), int64(intArg(t, d, "started"))
		if s.table.RecordSilent(s.now, savorystep.Endpoint{ID: id, StartedAtMillis: started}) {
			return "to be reported\n"
		}
		return "not to be reported\n"
	case "peer-silent":
		if s.table.ApplySilent(s.now, savorystep.InstanceID(arg(t, d, "from")), savorystep.EndpointID(arg(t, d, "id")), int64(intArg(t, d, "started")), ageArg(t, d)) {
			return "new\n"
		}
		return "known or not enough\n"
	case "peer-ended":
		return formatNews(s.table.ApplyEnded(s.now, savorystep.EndpointID(arg(t, d, "id")), int64(intArg(t, d, "started")), ageArg(t, d)))
	case "recheck":
		return s.recheck(t, d)
	case "list":
		s.table.SetListFailing(s.now, intArg(t, d, "failing") != 0)
	case "retry":
		return s.retry(t, d)
	case "tick":
		s.table.Tick(s.now, s.now)
	case "list-read":
		s.table.ListRead(s.now.Add(-time.Duration(intArg(t, d, "ago")) * time.Millisecond))
	case "excluded":
		return s.excluded()
	case "explain":
		return s.explain(t, d)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

// cold records the response of an endpoint to a health check, with its header value in
// milliseconds. It returns whether the check was due and what became of it.
func (s *script) cold(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	e := savorystep.Endpoint{ID: savorystep.EndpointID(arg(t, d, "id")), StartedAtMillis: int64(intArg(t, d, "started"))}
	if !s.table.NeedsWarmupCheck(s.now, e) {
		return "not checked\n"
	}
	remaining, ok := endpoint.ParseColdRemaining(arg(t, d, "for"))
	switch {
	case !ok:
		return "warm\n"
	case s.table.RecordCold(s.now, e, remaining):
		return "to be reported\n"
	default:
		return "not to be reported\n"
	}
}

// createTable replaces the table by one without endpoints.
func (s *script) createTable(d *datadriven.TestData) {
	config := endpoint.Config{Self: "self", ColdFactor: 1.5, ColdSlack: 5, RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, MayReplace: d.HasArg("replaces")}
	s.table = endpoint.NewTable(config)
	s.inFlight = make(map[savorystep.EndpointID][]endpoint.Choice)
	s.table.SetSpecs(map[savorystep.Service]savorystep.ServiceSpec{"s": {Name: "s", ColdRate: 7.6, Warmup: 3 * time.Second}})
}

// arg returns an argument of a command, or the empty string.
func arg(t *testing.T, d *datadriven.TestData, key string) string {
	t.Helper()
	var value string
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

// intArg returns an integer argument of a command, or zero.
func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	t.Helper()
	var value int
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

// ageArg returns the age of a report, zero by default.
func ageArg(t *testing.T, d *datadriven.TestData) time.Duration {
	t.Helper()
	return time.Duration(intArg(t, d, "age")) * time.Millisecond
}

// put puts an entry with the given fields for each id. Ids are separated by +.
func (s *script) put(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	entry := savorystep.Endpoint{
		Service: "s", State: savorystep.StateLive, Slots: 3, Address: "10.0.0.1:1",
		Place:           savorystep.Place{Region: "r", Zone: "z"},
		StartedAtMillis: int64(intArg(t, d, "started")),
		ReportSequence:  uint64(intArg(t, d, "sequence")),
		WrittenVersion:  savorystep.CatalogVersion(intArg(t, d, "written")),
		ColdRemaining:   time.Duration(intArg(t, d, "cold")) * time.Millisecond,
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
	var lines []string
	for id := range strings.SplitSeq(arg(t, d, "id"), "+") {
		entry.ID = savorystep.EndpointID(id)
		lines = append(lines, fmt.Sprintf("%s %v", id, s.table.Put(s.now, entry)))
	}
	return strings.Join(lines, "\n") + "\n"
}

// choose chooses endpoints for requests for one object, and returns the distinct
// choices with their reasons and counts. The time advances by gap milliseconds
// after each choice.
func (s *script) choose(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	query := endpoint.Query{Service: "s", AffinityKey: uint64(intArg(t, d, "key")), Local: savorystep.Place{Region: "home", Zone: savorystep.Zone(arg(t, d, "local-zone"))}, PreferLocal: d.HasArg("prefer-local")}
	if region := arg(t, d, "allowed"); region != "" {
		query.AllowedRegions = []savorystep.Region{savorystep.Region(region)}
	}
	query.TimeLeft = time.Duration(intArg(t, d, "time-left")) * time.Millisecond
	count := max(1, intArg(t, d, "times"))
	counts := make(map[string]int)
	var lines []string
	for range count {
		line := "none"
		choice, ok := s.table.Choose(s.now, query)
		switch {
		case ok:
			line = fmt.Sprintf("%s %s", choice.Endpoint.ID, choice.Reason)
			s.inFlight[choice.Endpoint.ID] = append(s.inFlight[choice.Endpoint.ID], choice)
		case choice.ExpectedLatency > 0:
			line = fmt.Sprintf("none before %v", choice.ExpectedLatency.Round(time.Millisecond))
		}
		if !slices.Contains(lines, line) {
			lines = append(lines, line)
		}
		counts[line]++
		s.now = s.now.Add(time.Duration(intArg(t, d, "gap")) * time.Millisecond)
	}
	var out strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&out, "%s x%d\n", line, counts[line])
	}
	return out.String()
}

// finish finishes the oldest attempts at an endpoint.
func (s *script) finish(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	outcomes := map[string]endpoint.Outcome{
		"answered": endpoint.OutcomeAnswered, "broken": endpoint.OutcomeBrokenResponse, "failed": endpoint.OutcomeFailed,
		"gone": endpoint.OutcomeMisdirected, "left": endpoint.OutcomeCancelled, "refused": endpoint.OutcomeConnectFailed, "reset": endpoint.OutcomeConnectReset,
		"shed": endpoint.OutcomeShed, "silent": endpoint.OutcomeTimedOut,
	}
	outcome, ok := outcomes[arg(t, d, "outcome")]
	if !ok {
		d.Fatalf(t, "unknown outcome")
	}
	var load *endpoint.Load
	if text := arg(t, d, "load"); text != "" {
		parsed, ok := endpoint.ParseLoad(strings.ReplaceAll(text, "/", ","))
		if !ok {
			d.Fatalf(t, "load %q is not of the form RUNNING/QUEUED/SLOTS", text)
		}
		load = &parsed
	}
	id := savorystep.EndpointID(arg(t, d, "id"))
	for range max(1, intArg(t, d, "times")) {
		choice := endpoint.Choice{Endpoint: savorystep.Endpoint{ID: id}}
		if inFlight := s.inFlight[id]; len(inFlight) > 0 {
			choice, s.inFlight[id] = inFlight[0], inFlight[1:]
		}
		s.table.Finish(s.now, choice, outcome, load)
	}
}

// recheck returns why the oldest choices of an endpoint may no longer be sent, in order.
// Those that are withdrawn are finished.
func (s *script) recheck(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	id := savorystep.EndpointID(arg(t, d, "id"))
	var out strings.Builder
	for range max(1, intArg(t, d, "times")) {
		choice := s.inFlight[id][0]
		s.inFlight[id] = s.inFlight[id][1:]
		exclusion := s.table.Recheck(s.now, choice)
		if exclusion != endpoint.ExclusionNone {
			s.table.Finish(s.now, choice, endpoint.OutcomeWithdrawn, nil)
		}
		fmt.Fprintln(&out, exclusion)
	}
	return out.String()
}

// retry counts requests, takes retries until none is allowed and returns their
// number.
func (s *script) retry(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	for range intArg(t, d, "requests") {
		s.table.CountRequest(s.now, "s")
	}
	allowed := 0
	for allowed < 1000 && s.table.AllowRetry(s.now, "s") {
		allowed++
	}
	return fmt.Sprintf("%d retries\n", allowed)
}

// statementArg returns the rate limit in the argument limit, none without it.
func statementArg(t *testing.T, d *datadriven.TestData) endpoint.RateLimitStatement {
	t.Helper()
	text := arg(t, d, "limit")
	if text == "" {
		return endpoint.RateLimitStatement{}
	}
	rate, ok := endpoint.ParseRateLimit(text)
	if !ok {
		d.Fatalf(t, "limit %q is not a rate", text)
	}
	return endpoint.RateLimitStatement{IsLimited: true, Rate: rate}
}

// formatReport returns a report as one line.
func formatReport(report endpoint.RateLimitReport) string {
	text := "no limit"
	if report.Statement.IsLimited {
		text = fmt.Sprintf("limit %.1f", report.Statement.Rate)
	}
	switch {
	case report.IsChanged:
		return text + ", changed\n"
	case report.IsDue:
		return text + ", due\n"
	default:
		return "nothing to report\n"
	}
}

// respond answers the oldest attempt at an endpoint, or the one with an index, with a
// response that states a rate limit or none.
func (s *script) respond(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	id, index := savorystep.EndpointID(arg(t, d, "id")), intArg(t, d, "index")
	if index >= len(s.inFlight[id]) {
		d.Fatalf(t, "%d attempts are in flight at endpoint %s, index %d", len(s.inFlight[id]), id, index)
	}
	choice := s.inFlight[id][index]
	s.inFlight[id] = slices.Delete(s.inFlight[id], index, index+1)
	report := s.table.RecordRateLimit(s.now, choice, statementArg(t, d))
	s.table.Finish(s.now, choice, endpoint.OutcomeAnswered, nil)
	return formatReport(report)
}

// respondLeaving answers the oldest attempt at an endpoint with a response that says
// that the endpoint leaves.
func (s *script) respondLeaving(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	id := savorystep.EndpointID(arg(t, d, "id"))
	if len(s.inFlight[id]) == 0 {
		d.Fatalf(t, "no attempt is in flight at endpoint %s", id)
	}
	choice := s.inFlight[id][0]
	s.inFlight[id] = s.inFlight[id][1:]
	isNew := s.table.RecordLeaving(s.now, choice)
	s.table.Finish(s.now, choice, endpoint.OutcomeAnswered, nil)
	return formatNews(isNew)
}

// formatNews returns whether something was not known before as one line.
func formatNews(isNew bool) string {
	if isNew {
		return "new\n"
	}
	return "known or outdated\n"
}

// reject rejects the oldest attempts at an endpoint with a response that states for how
// many milliseconds the endpoint wants none, and returns how long it gets none.
func (s *script) reject(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	id, wait := savorystep.EndpointID(arg(t, d, "id")), time.Duration(intArg(t, d, "wait"))*time.Millisecond
	var out strings.Builder
	for range max(1, intArg(t, d, "times")) {
		if len(s.inFlight[id]) == 0 {
			d.Fatalf(t, "no attempt is in flight at endpoint %s", id)
		}
		choice := s.inFlight[id][0]
		s.inFlight[id] = s.inFlight[id][1:]
		until, isChanged := s.table.RecordRetryAfter(s.now, choice, wait)
		s.table.Finish(s.now, choice, endpoint.OutcomeShed, nil)
		if isChanged {
			fmt.Fprintf(&out, "closed for %v\n", until.Sub(s.now))
		} else {
			fmt.Fprintln(&out, "unchanged")
		}
	}
	return out.String()
}
