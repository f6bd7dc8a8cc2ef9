package cmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"savorystep"
	"savorystep/entry"
	"savorystep/operator"
	"savorystep/peer"
	"savorystep/standin"
)

const (
	// demoShutdownDelay is shorter than the lifetime of lookups, since the demo's
	// clients go to another entry when one is gone.
	demoShutdownDelay = 500 * time.Millisecond
	// demoTimelineEvents is how many events of the timeline are printed.
	demoTimelineEvents = 14
	// maxDemoPropagationDelay is the longest that a change may take to be in force.
	maxDemoPropagationDelay = 5 * time.Second
)

// A demo shows the main job on one site.
type demo struct {
	*site
	out io.Writer
}

// newDemo starts a site and prints what it consists of.
func newDemo(ctx context.Context, out io.Writer, shape standin.Shape) (*demo, error) {
	s, err := newSite(ctx, siteConfig{Shape: shape, EntryCount: 3, MeanServiceTime: -1, QueueLength: 1, ShutdownDelay: demoShutdownDelay})
	if err != nil {
		return nil, err
	}
	printf(out, "\nSite %s: %d entries, %d endpoints of %d services.\n",
		shape.Name, len(s.entries), len(s.upstreams), len(shape.Services))
	return &demo{site: s, out: out}, nil
}

// run runs the steps and returns how many failed.
func (d *demo) run(ctx context.Context, steps ...func(ctx context.Context) error) int {
	failed := 0
	for _, step := range steps {
		if err := step(ctx); err != nil {
			failed++
			printf(d.out, "  FAILED: %v\n", err)
		}
	}
	return failed
}

// printPassed prints the outcome of a check that held.
func (d *demo) printPassed(format string, args ...any) {
	printf(d.out, "  ok: "+format+"\n", args...)
}

// checkNames shows a known misspelling, an unknown name and its correction.
func (d *demo) checkNames(ctx context.Context) error {
	client := d.newClient("recife", 0)
	defer client.Close()
	response, err := client.Send(ctx, demoRequest("names-1", "statsu"))
	if err != nil {
		return err
	}
	d.printPassed("the misspelled name statsu was answered by %s", response.Header.Get(savorystep.HeaderEndpoint))
	_, err = client.Send(ctx, demoRequest("names-2", "stauts"))
	var refusal *savorystep.Error
	if !errors.As(err, &refusal) || refusal.Kind != savorystep.KindUnknownName {
		return fmt.Errorf("the unknown name stauts gave %w", err)
	}
	d.printPassed("the unknown name stauts was refused as not run, with the suggestions %v", refusal.Suggestions)
	return d.checkCorrection(ctx)
}

// checkCorrection corrects the unknown name and waits until it is in force.
func (d *demo) checkCorrection(ctx context.Context) error {
	operators := d.newOperatorClient()
	start := time.Now()
	outcome, err := operators.Correct(ctx, operator.CorrectRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID(), Author: "demo"},
		Name:       "stauts",
		Service:    "status",
	})
	if err != nil {
		return err
	}
	progress, err := operators.WaitForRevision(ctx, outcome.Revision, maxDemoPropagationDelay)
	if err != nil {
		return err
	}
	if !progress.Done {
		return fmt.Errorf("revision %d is in force on %d instances only", outcome.Revision, progress.InForceCount())
	}
	took := time.Since(start).Round(time.Millisecond)
	for _, e := range d.entries {
		one := entry.NewClient(entry.ClientConfig{
			Clock: savorystep.SystemClock{}, Origin: "natal", SeedAddresses: []savorystep.Address{e.self.CallerAddress},
		})
		lookup, err := one.Lookup(ctx, "stauts")
		one.Close()
		if err != nil || lookup.Service != "status" {
			return fmt.Errorf("entry %s resolves stauts to %q: %w", e.self.ID, lookup.Service, err)
		}
	}
	d.printPassed("the correction of stauts is revision %d, in force on %d of %d entries after %s",
		outcome.Revision, progress.InForceCount(), len(d.entries), took)
	return nil
}

// checkIdempotencyKey sends a keyed request twice and checks that it ran once.
func (d *demo) checkIdempotencyKey(ctx context.Context) error {
	client := d.newClient("natal", 0)
	defer client.Close()
	request := demoRequest("renewal-1", "renewals")
	request.Method = http.MethodPost
	request.IdempotencyKey = "renewal-of-march"
	first, err := client.Send(ctx, request)
	if err != nil {
		return err
	}
	request.ID = "renewal-2"
	second, err := client.Send(ctx, request)
	if err != nil {
		return err
	}
	runs := 0
	for _, u := range d.upstreams {
		runs += u.Stats().RunsByKey[request.IdempotencyKey]
	}
	if runs != 1 || !bytes.Equal(first.Body, second.Body) {
		return fmt.Errorf("the renewal ran %d times", runs)
	}
	d.printPassed("a renewal that was sent twice ran once, and both got the same answer")
	return nil
}

// checkShift moves half of a region's traffic under a cap and checks the cap at
// the upstreams.
func (d *demo) checkShift(ctx context.Context) error {
	shape := d.config.Shape
	limit := savorystep.Slots(4)
	growth := 50
	outcome, err := d.newOperatorClient().Shift(ctx, operator.ShiftRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID(), Author: "demo"},
		Service:    "status", From: shape.DrainedRegion, To: shape.TargetRegion, Percent: 50, Cap: &limit, GrowthPerSecond: &growth,
	})
	if err != nil {
		return err
	}
	if err := d.waitForRevision(ctx, d.newOperatorClient(), outcome.Revision); err != nil {
		return err
	}
	d.probe.reset()
	result := d.sendLoad(ctx, "shift", "status", shape.DrainedRegion, 300, 3*time.Second)
	moved := d.probe.flow(siteFlow{service: "status", from: shape.DrainedRegion, to: shape.TargetRegion})
	if moved.maxRunning > int(limit) || moved.total == 0 || result.WrongResponses > 0 {
		return fmt.Errorf("%d moved requests, %d at once with a cap of %d, %d wrong answers", moved.total, moved.maxRunning, limit, result.WrongResponses)
	}
	d.printPassed("a shift of 50%% from %s to %s moved %d of %d requests, at most %d at once with a cap of %d",
		shape.DrainedRegion, shape.TargetRegion, moved.total, result.Sent, moved.maxRunning, limit)
	return nil
}

// checkDrain drains a region under load and checks when the last new request
// came.
func (d *demo) checkDrain(ctx context.Context) error {
	shape := d.config.Shape
	growth := 100
	var result *entry.LoadResult
	var running sync.WaitGroup
	running.Go(func() { result = d.sendLoad(ctx, "drain", "stock", shape.DrainedRegion, 200, 4*time.Second) })
	time.Sleep(500 * time.Millisecond)
	start := time.Now()
	outcomes, err := d.newOperatorClient().Drain(ctx, operator.DrainRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID(), Author: "demo"},
		Region:     shape.DrainedRegion, GrowthPerSecond: &growth,
	})
	if err != nil {
		running.Wait()
		return err
	}
	running.Wait()
	last := d.probe.lastStart("stock", shape.DrainedRegion).Sub(start).Round(time.Millisecond)
	left := d.probe.runningCount("stock", shape.DrainedRegion)
	if last > maxDemoPropagationDelay || left > 0 || result.WrongResponses > 0 || len(result.RefusedByKind) > 0 {
		return fmt.Errorf("the last new request came %s after the drain, %d still run, refused: %v", last, left, result.RefusedByKind)
	}
	d.printPassed("the drain of %s changed %d services; its last new request came %s after the order, none of %d was refused",
		shape.DrainedRegion, len(outcomes), last, result.Sent)
	return nil
}

// checkGracefulStop stops an entry in the middle of an upload.
func (d *demo) checkGracefulStop(ctx context.Context) error {
	const half = 4 << 20
	leaving := d.entries[len(d.entries)-1]
	reader, writer := io.Pipe()
	url := fmt.Sprintf("http://%s/s/claims/echo", leaving.self.CallerAddress)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, reader)
	if err != nil {
		return err
	}
	request.ContentLength = 2 * half
	stopped := make(chan error, 1)
	go func() {
		part := make([]byte, half)
		_, _ = writer.Write(part)
		go func() { stopped <- leaving.Stop() }()
		time.Sleep(demoShutdownDelay)
		_, _ = writer.Write(part)
		_ = writer.Close()
	}()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("the upload was interrupted: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("the upload got status %d and %s: %w", response.StatusCode, body, err)
	}
	if err := <-stopped; err != nil {
		return err
	}
	d.printPassed("an entry was told to stop in the middle of an upload of 8 MiB, finished it and ended")
	return nil
}

// sendLoad sends requests of one region to a service.
func (d *demo) sendLoad(
	ctx context.Context,
	prefix string,
	service savorystep.Service,
	from savorystep.Region,
	perSecond float64,
	length time.Duration,
) *entry.LoadResult {
	const clients = 32
	targets := make([]entry.LoadTarget, 0, clients)
	streams := make([]entry.Stream, 0, clients)
	for i := range clients {
		client := d.newClient(from, i)
		defer client.Close()
		stream := entry.Stream{RequestsPerSecond: perSecond / clients, MeanExecutionTime: 10 * time.Millisecond, LogStdDev: 0.5}
		streams = append(streams, stream)
		targets = append(targets, entry.LoadTarget{Stream: stream, Sender: client, Name: savorystep.Name(service), Region: from})
	}
	return entry.NewLoadGenerator(entry.LoadGeneratorConfig{
		Arrivals:        entry.NewArrivals(1, length, streams),
		Clock:           savorystep.SystemClock{},
		RequestPath:     func(work time.Duration) string { return fmt.Sprintf("/run/%d", work.Microseconds()) },
		RequestIDPrefix: prefix + "-",
		Targets:         targets,
		RequestTimeout:  5 * time.Second,
	}).Run(ctx)
}

// printTimeline prints the last events of all entries.
func (d *demo) printTimeline() {
	lists := make([][]savorystep.Event, 0, len(d.entries))
	for _, e := range d.entries {
		lists = append(lists, e.events.Events())
	}
	events := peer.MergeTimelines(lists...)
	shown := events[max(0, len(events)-demoTimelineEvents):]
	printf(d.out, "Timeline, the last %d of %d events:\n", len(shown), len(events))
	for _, event := range shown {
		at := time.Unix(0, event.Timestamp.Wall).UTC().Format("15:04:05.000")
		printf(d.out, "  %s  %-22s %-10s %s\n", at, event.Instance, event.Kind, event.Text)
	}
}

// printAddresses prints the addresses of the site.
func (d *demo) printAddresses() {
	for _, e := range d.entries[:len(d.entries)-1] {
		printf(d.out, "curl 'http://%s/v1/lookup?name=statsu&from=recife'\n", e.self.CallerAddress)
		printf(d.out, "curl -H 'Savorystep-From: recife' http://%s/s/statsu/echo\n", e.self.CallerAddress)
		printf(d.out, "savorystep status --server %s --token %s\n", e.self.OperatorAddress, siteToken)
	}
}

// demoRequest returns a short request.
func demoRequest(id savorystep.RequestID, name savorystep.Name) entry.Request {
	return entry.Request{ID: id, Name: name, Method: http.MethodGet, Path: "/run/1000", Timeout: 5 * time.Second}
}
