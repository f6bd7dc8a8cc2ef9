package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/entry"
	"savorystep/standin"
)

const (
	// loadClientsPerRegion is the number of clients in each region. Each has an IP
	// address in a block of its own.
	loadClientsPerRegion = 16
	// loadLogStdDev is the standard deviation of the logarithm of execution times.
	loadLogStdDev = 0.5
	// loadRequestTimeout is the time-out of each request.
	loadRequestTimeout = 3 * time.Second
)

// loadFlags are the values of the flags of the load command.
type loadFlags struct {
	direct            bool
	entryCount        int
	ignoreRetryDelay  bool
	duration          time.Duration
	offeredLoad       float64
	scenario          string
	seed              uint64
	siteName          string
	storeLatency      time.Duration
	meanExecutionTime time.Duration
}

// newLoadCmd returns the load command.
func newLoadCmd() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Measure a site on stand-ins under load and faults",
		Long: "Measure a site on stand-ins under load and faults, in one process on loopback\n" +
			"with the site's link latencies. Arrivals are open-loop from a fixed seed; the\n" +
			"report is JSON. The ideal latencies are those of a single queue before all\n" +
			"slots of a service in a region.\n\nThe scenario begins at a third of the length:\n" +
			"  calm      nothing happens\n" +
			"  drain     the site's first region is drained\n" +
			"  kill      an entry dies\n" +
			"  outage    the platform is down\n" +
			"  overload  nothing happens; use it with --load 2\n" +
			"  quiet     load pages hang and the platform's list is frozen",
		Example: "  savorystep load --site corrente --scenario calm --load 0.8\n" +
			"  savorystep load --site huon --scenario drain --load 0.5 --length 20s",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runLoadCmd(cmd.Context(), cmd.OutOrStdout(), flags)
		},
	}
	set := cmd.Flags()
	set.BoolVar(&flags.direct, "direct", false, "send straight to endpoints of the caller's region, without entries")
	set.BoolVar(&flags.ignoreRetryDelay, "ignore-delay", false, "make clients send again at once after a refusal")
	set.IntVar(&flags.entryCount, "entries", 10, "number of entry instances")
	set.DurationVar(&flags.duration, "length", 15*time.Second, "length of the load")
	set.Float64Var(&flags.offeredLoad, "load", 0.6, "offered load as a part of all slots")
	set.StringVar(&flags.scenario, "scenario", string(scenarioCalm), "what happens during the load")
	set.Uint64Var(&flags.seed, "seed", 1, "seed of the arrivals")
	set.StringVar(&flags.siteName, "site", "corrente", "shape of the site, corrente or huon")
	set.DurationVar(&flags.storeLatency, "store", 0, "one-way latency to the platform")
	set.DurationVar(&flags.meanExecutionTime, "work", 100*time.Millisecond, "mean time that an upstream runs a request")
	return cmd
}

// runLoadCmd starts a site, measures it under load and prints the report as JSON.
func runLoadCmd(ctx context.Context, out io.Writer, flags loadFlags) error {
	shape, err := shapeByName(flags.siteName)
	if err != nil {
		return err
	}
	scenario := loadScenario(flags.scenario)
	if !slices.Contains(loadScenarios, scenario) {
		return savorystep.NewError(savorystep.KindBadRequest, "unknown scenario %q, want one of %v", flags.scenario, loadScenarios)
	}
	s, err := newSite(ctx, siteConfig{Shape: shape, EntryCount: flags.entryCount, MeanServiceTime: -1, QueueCapacity: 1, SimulateLatency: true, ShutdownDelay: time.Millisecond, IgnoreRetryDelay: flags.ignoreRetryDelay})
	if err != nil {
		return err
	}
	defer s.Close()
	s.platform.SetFaults(standin.PlatformFaults{DelayMillis: int((2 * flags.storeLatency).Milliseconds())})
	report, err := measureLoad(ctx, s, flags, scenario)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// shapeByName returns the shape of the site with a name. The error has
// KindBadRequest.
func shapeByName(name string) (standin.Shape, error) {
	for _, shape := range []standin.Shape{standin.Corrente(), standin.Huon()} {
		if shape.Name == name {
			return shape, nil
		}
	}
	return standin.Shape{}, savorystep.NewError(savorystep.KindBadRequest, "unknown site %q, want corrente or huon", name)
}

// measureLoad sends the load while the scenario runs, and returns the report. If the
// scenario fails, it returns both the report and the error.
func measureLoad(ctx context.Context, s *site, flags loadFlags, scenario loadScenario) (*loadReport, error) {
	report := &loadReport{
		Site: flags.siteName, Scenario: flags.scenario, Mode: "entries", Entries: flags.entryCount,
		Seed: flags.seed, DurationSeconds: flags.duration.Seconds(), OfferedLoad: flags.offeredLoad, StoreLatency: float64(flags.storeLatency.Microseconds()) / 1000,
	}
	if flags.direct {
		report.Mode = "direct"
	}
	if flags.ignoreRetryDelay {
		report.Mode = "entries, delays ignored"
	}
	targets, streams := loadTargets(s, flags)
	arrivals := entry.NewArrivals(flags.seed, flags.duration, streams)
	stopSampling := make(chan struct{})
	var wg sync.WaitGroup
	var scenarioErr error
	wg.Go(func() { report.runSampling(s, stopSampling) })
	wg.Go(func() { scenarioErr = scenario.run(ctx, s, flags.duration, report) })
	result := entry.NewLoadGenerator(entry.LoadGeneratorConfig{
		Arrivals:        arrivals,
		Clock:           savorystep.SystemClock{},
		RequestPath:     func(executionTime time.Duration) string { return fmt.Sprintf("/run/%d", executionTime.Microseconds()) },
		RequestIDPrefix: "load-",
		OnRefusal: func(target entry.LoadTarget, kind savorystep.Kind) {
			report.countRefusal(kind, s.hasFreeSlot(savorystep.Service(target.Name)))
		},
		Targets:        targets,
		RequestTimeout: loadRequestTimeout,
		WarmupDuration: flags.duration / 10,
	}).Run(ctx)
	close(stopSampling)
	wg.Wait()
	// If the platform stayed down, closing the site would wait until idempotency
	// keys can be settled.
	s.platform.SetFaults(standin.PlatformFaults{})
	report.setResult(result, targets, idealLatencies(s.config.Shape, targets, arrivals, flags.duration/10))
	report.Goodput = goodput(s.config.Shape, result, flags)
	report.ShedRequests = s.countShedRequests()
	report.setDrainTimes(s)
	return report, scenarioErr
}

// loadTargets returns a target and a stream for each client and service. The rate of
// a stream is in proportion to the slots of the service in the region.
func loadTargets(s *site, flags loadFlags) ([]entry.LoadTarget, []entry.Stream) {
	shape := s.config.Shape
	count := len(shape.Regions) * len(shape.Services) * loadClientsPerRegion
	targets := make([]entry.LoadTarget, 0, count)
	streams := make([]entry.Stream, 0, count)
	for _, region := range shape.Regions {
		for clientNumber := range loadClientsPerRegion {
			client := s.newClient(region, clientNumber)
			for _, service := range shape.Services {
				slots := regionSlots(shape, service, region)
				stream := entry.Stream{
					RequestsPerSecond: flags.offeredLoad * float64(slots) / flags.meanExecutionTime.Seconds() / loadClientsPerRegion,
					MeanExecutionTime: flags.meanExecutionTime,
					LogStdDev:         loadLogStdDev,
				}
				target := entry.LoadTarget{
					Stream: stream, Sender: client, Name: savorystep.Name(service.Service), Keyed: service.NonIdempotent, Region: region,
				}
				if flags.direct {
					target.Sender = s.newDirectSender(region, service.Service)
				}
				streams = append(streams, stream)
				targets = append(targets, target)
			}
		}
	}
	return targets, streams
}

// idealLatencies returns the latencies of an ideal system: all slots of a service in
// a region take requests from a single queue, so a request waits only while all are
// busy. They include the round trip from the client. Arrivals during the warm-up are
// omitted.
func idealLatencies(shape standin.Shape, targets []entry.LoadTarget, arrivals []entry.Arrival, warmup time.Duration) []time.Duration {
	var latencies []time.Duration
	roundTrip := 2 * shape.ClientLatency
	for _, service := range shape.Services {
		for _, region := range shape.Regions {
			var regionArrivals []entry.Arrival
			for _, arrival := range arrivals {
				target := targets[arrival.StreamIndex]
				if target.Region == region && target.Name == savorystep.Name(service.Service) {
					regionArrivals = append(regionArrivals, arrival)
				}
			}
			for i, latency := range entry.CentralQueueTimes(regionArrivals, regionSlots(shape, service, region)) {
				if regionArrivals[i].Offset >= warmup {
					latencies = append(latencies, latency+roundTrip)
				}
			}
		}
	}
	return latencies
}

// goodput returns the work of answered requests as a fraction of the capacity of all
// slots. The warm-up does not count.
func goodput(shape standin.Shape, result *entry.LoadResult, flags loadFlags) float64 {
	slots := 0
	for _, service := range shape.Services {
		slots += service.Endpoints * int(service.Slots)
	}
	measuredDuration := flags.duration - flags.duration/10
	return float64(result.Answered()) * flags.meanExecutionTime.Seconds() / measuredDuration.Seconds() / float64(slots)
}
