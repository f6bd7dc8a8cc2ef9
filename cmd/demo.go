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
	// demoShutdownDelay is shorter than the lifetime of lookups. That suffices,
	// because the clients of the demo go to another entry when one is gone.
	demoShutdownDelay = 500 * time.Millisecond
	// demoTimelineEvents is the number of timeline events that are printed.
	demoTimelineEvents = 14
	// maxDemoPropagationDelay is the maximum time until a change is in force on all
	// entries.
	maxDemoPropagationDelay = 5 * time.Second
)

// A demo checks the main functions on a site and prints the outcome of each check.
type demo struct {
	*site
	out io.Writer
}

// newDemo starts a site and prints a summary of it.
func newDemo(ctx context.Context, out io.Writer, shape standin.Shape) (*demo, error) {
	s, err := newSite(ctx, siteConfig{Shape: shape, EntryCount: 3, MeanServiceTime: -1, QueueCapacity: 1, ShutdownDelay: demoShutdownDelay})
	if err != nil {
		return nil, err
	}
	printf(out, "\nSite %s: %d entries, %d endpoints of %d services.\n",
		shape.Name, len(s.entries), len(s.upstreams), len(shape.Services))
	return &demo{site: s, out: out}, nil
}

// run runs the steps in order, prints the failures and returns their number.
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

// printPassed prints the outcome of a check that passed.
func (d *demo) printPassed(format string, args ...any) {
	printf(d.out, "  ok: "+format+"\n", args...)
}

// checkNames checks that a known misspelling is resolved, that an unknown name is
// refused with suggestions, and that a correction of it takes effect.
func (d *demo) checkNames(ctx context.Context) error {
	client := d.newClient("recife", 0)
	defer client.Close()
	response, err := client.Send(ctx, demoRequest("names-1", "statsu"))
	if err != nil {
		return err
	}
	d.printPassed("the misspelled name statsu was answered by %s", response.Header.Get(savorystep.HeaderEndpoint))
	_, err = client.Send(ctx, demoRequest("names-2", "stauts"))
	var kindErr *savorystep.Error
	if !errors.As(err, &kindErr) || kindErr.Kind != savorystep.KindUnknownName {
		return fmt.Errorf("request with the unknown name stauts: want error kind %v, got %w", savorystep.KindUnknownName, err)
	}
	d.printPassed("the unknown name stauts was refused as not run, with the suggestions %v", kindErr.Suggestions)
	return d.checkCorrection(ctx)
}

// checkCorrection corrects the unknown name and checks that every entry resolves it
// once the change is in force.
func (d *demo) checkCorrection(ctx context.Context) error {
	operatorClient := d.newOperatorClient()
	start := time.Now()
	outcome, err := operatorClient.Correct(ctx, operator.CorrectRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID(), Author: "demo"},
		Name:       "stauts",
		Service:    "status",
	})
	if err != nil {
		return err
	}
	progress, err := operatorClient.WaitForRevision(ctx, outcome.Revision, maxDemoPropagationDelay)
	if err != nil {
		return err
	}
	if !progress.Done {
		return fmt.Errorf("revision %d is in force on %d of %d instances after %s", outcome.Revision, progress.InForceCount(), len(progress.Members), maxDemoPropagationDelay)
	}
	elapsed := time.Since(start).Round(time.Millisecond)
	for _, e := range d.entries {
		client := entry.NewClient(entry.ClientConfig{
			Clock: savorystep.SystemClock{}, Origin: "natal", SeedAddresses: []savorystep.Address{e.self.CallerAddress},
		})
		lookup, err := client.Lookup(ctx, "stauts")
		client.Close()
		if err != nil || lookup.Service != "status" {
			return fmt.Errorf("entry %s resolves stauts to %q, want status: %w", e.self.ID, lookup.Service, err)
		}
	}
	d.printPassed("the correction of stauts is revision %d, in force on %d of %d entries after %s",
		outcome.Revision, progress.InForceCount(), len(d.entries), elapsed)
	return nil
}

// checkIdempotencyKey sends a request with an idempotency key twice and checks that
// it ran once.
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
		return fmt.Errorf("the renewal ran %d times, want 1, or its responses differ: %q and %q", runs, first.Body, second.Body)
	}
	d.printPassed("a renewal that was sent twice ran once, and both got the same answer")
	return nil
}

// checkShift shifts half of the traffic of a region under a cap and checks at the
// upstreams that the cap is kept. So few requests are in flight that the region is never
// full, however slow the machine: the cap doesn't bound what fails over.
func (d *demo) checkShift(ctx context.Context) error {
	const inFlight = 16
	shape := d.config.Shape
	slotCap := savorystep.Slots(4)
	growthPerSecond := 50
	outcome, err := d.newOperatorClient().Shift(ctx, operator.ShiftRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID(), Author: "demo"},
		Service:    "status", From: shape.DrainedRegion, To: shape.TargetRegion, Percent: 50, Cap: &slotCap, GrowthPerSecond: &growthPerSecond,
	})
	if err != nil {
		return err
	}
	if err := d.waitForRevision(ctx, d.newOperatorClient(), outcome.Revision); err != nil {
		return err
	}
	d.probe.reset()
	result := d.sendLoad(ctx, "shift", "status", shape.DrainedRegion, 300, 3*time.Second, inFlight)
	flow := d.probe.flow(siteFlow{service: "status", from: shape.DrainedRegion, to: shape.TargetRegion})
	if flow.maxRunning > int(slotCap) || flow.total == 0 || result.WrongResponses > 0 {
		return fmt.Errorf("shift moved %d requests, %d concurrently with a cap of %d, %d wrong responses", flow.total, flow.maxRunning, slotCap, result.WrongResponses)
	}
	d.printPassed("a shift of 50%% from %s to %s moved %d of %d requests, at most %d at once with a cap of %d",
		shape.DrainedRegion, shape.TargetRegion, flow.total, result.Sent, flow.maxRunning, slotCap)
	return nil
}

// checkDrain drains a region under load and checks that no new requests start there
// after maxDemoPropagationDelay, that none is left running and that none was refused.
func (d *demo) checkDrain(ctx context.Context) error {
	shape := d.config.Shape
	growthPerSecond := 100
	var result *entry.LoadResult
	var wg sync.WaitGroup
	wg.Go(func() { result = d.sendLoad(ctx, "drain", "stock", shape.DrainedRegion, 200, 4*time.Second, 2000) })
	time.Sleep(500 * time.Millisecond)
	requestedAt := time.Now()
	outcomes, err := d.newOperatorClient().Drain(ctx, operator.DrainRequest{
		ChangeInfo: operator.ChangeInfo{ID: operator.NewChangeID(), Author: "demo"},
		Region:     shape.DrainedRegion, GrowthPerSecond: &growthPerSecond,
	})
	if err != nil {
		wg.Wait()
		return err
	}
	wg.Wait()
	lastStart := d.probe.lastStart("stock", shape.DrainedRegion).Sub(requestedAt).Round(time.Millisecond)
	runningCount := d.probe.runningCount("stock", shape.DrainedRegion)
	if lastStart > maxDemoPropagationDelay || runningCount > 0 || result.WrongResponses > 0 || len(result.RefusedByKind) > 0 {
		return fmt.Errorf("the last new request came %s after the drain, limit %s; %d still run, %d wrong responses, refused: %v", lastStart, maxDemoPropagationDelay, runningCount, result.WrongResponses, result.RefusedByKind)
	}
	d.printPassed("the drain of %s changed %d services; its last new request came %s after the order, none of %d was refused",
		shape.DrainedRegion, len(outcomes), lastStart, result.Sent)
	return nil
}

// checkGracefulStop stops an entry in the middle of an upload and checks that the
// upload is completed.
func (d *demo) checkGracefulStop(ctx context.Context) error {
	const partBytes = 4 << 20
	stoppingEntry := d.entries[len(d.entries)-1]
	reader, writer := io.Pipe()
	url := fmt.Sprintf("http://%s/s/claims/echo", stoppingEntry.self.CallerAddress)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, reader)
	if err != nil {
		return err
	}
	request.ContentLength = 2 * partBytes
	stopErr := make(chan error, 1)
	go func() {
		part := make([]byte, partBytes)
		_, _ = writer.Write(part)
		go func() { stopErr <- stoppingEntry.Stop() }()
		time.Sleep(demoShutdownDelay)
		_, _ = writer.Write(part)
		_ = writer.Close()
	}()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("upload to the entry that is stopping: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("upload to the entry that is stopping: status %d, body %s: %w", response.StatusCode, body, err)
	}
	if err := <-stopErr; err != nil {
		return err
	}
	d.printPassed("an entry was told to stop in the middle of an upload of 8 MiB, finished it and ended")
	return nil
}

// sendLoad sends requests to a service from 32 clients in a region, for the given
// duration and at most inFlight at once, and returns their result.
func (d *demo) sendLoad(
	ctx context.Context,
	idPrefix string,
	service savorystep.Service,
	from savorystep.Region,
	requestsPerSecond float64,
	duration time.Duration,
	inFlight int,
) *entry.LoadResult {
	const clients = 32
	slots := make(chan struct{}, inFlight)
	targets := make([]entry.LoadTarget, 0, clients)
	streams := make([]entry.Stream, 0, clients)
	for i := range clients {
		client := d.newClient(from, i)
		defer client.Close()
		stream := entry.Stream{RequestsPerSecond: requestsPerSecond / clients, MeanExecutionTime: 10 * time.Millisecond, LogStdDev: 0.5}
		streams = append(streams, stream)
		targets = append(targets, entry.LoadTarget{Stream: stream, Sender: limitedSender{Sender: client, slots: slots}, Name: savorystep.Name(service), Region: from})
	}
	return entry.NewLoadGenerator(entry.LoadGeneratorConfig{
		Arrivals:        entry.NewArrivals(1, duration, streams),
		Clock:           savorystep.SystemClock{},
		RequestPath:     func(executionTime time.Duration) string { return fmt.Sprintf("/run/%d", executionTime.Microseconds()) },
		RequestIDPrefix: idPrefix + "-",
		Targets:         targets,
		RequestTimeout:  5 * time.Second,
	}).Run(ctx)
}

// printTimeline prints the last events of the merged timeline of all entries.
func (d *demo) printTimeline() {
	lists := make([][]savorystep.Event, 0, len(d.entries))
	for _, e := range d.entries {
		lists = append(lists, e.events.Events())
	}
	events := peer.MergeTimelines(lists...)
	shown := events[max(0, len(events)-demoTimelineEvents):]
	printf(d.out, "Timeline, the last %d of %d events:\n", len(shown), len(events))
	for _, event := range shown {
		timestamp := time.Unix(0, event.Timestamp.Wall).UTC().Format("15:04:05.000")
		printf(d.out, "  %s  %-22s %-10s %s\n", timestamp, event.Instance, event.Kind, event.Text)
	}
}

// printAddresses prints example commands with the addresses of the entries, without
// the one that was stopped.
func (d *demo) printAddresses() {
	for _, e := range d.entries[:len(d.entries)-1] {
		printf(d.out, "curl 'http://%s/v1/lookup?name=statsu&from=recife'\n", e.self.CallerAddress)
		printf(d.out, "curl -H 'Savorystep-From: recife' http://%s/s/statsu/echo\n", e.self.CallerAddress)
		printf(d.out, "savorystep status --server %s --token %s\n", e.self.OperatorAddress, siteToken)
	}
}

// demoRequest returns a request that runs for 1 ms at the upstream.
func demoRequest(id savorystep.RequestID, name savorystep.Name) entry.Request {
	return entry.Request{ID: id, Name: name, Method: http.MethodGet, Path: "/run/1000", Timeout: 5 * time.Second}
}
