package cmd

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/standin"
	"savorystep/store"
)

// upstreamDrainDelay is the time between a leaving endpoint registering as leaving
// and closing its listener, in which entries receive the new state.
const upstreamDrainDelay = 5 * time.Second

// standinUpstreamFlags are the values of the flags of the standin upstream command.
type standinUpstreamFlags struct {
	address         string
	id              string
	meanServiceTime time.Duration
	platform        string
	region          string
	service         string
	slots           int
	zone            string
}

// newStandinUpstreamCmd returns the standin upstream command.
func newStandinUpstreamCmd() *cobra.Command {
	var flags standinUpstreamFlags
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Run a stand-in of one endpoint of an upstream service",
		Long: "Run a stand-in of one endpoint of an upstream service. It registers with the\n" +
			"platform. Faults are switched on while it runs, for example\n" +
			"  curl -d '{\"drain\":true}' http://127.0.0.1:7100/faults",
		Example: "  savorystep standin upstream --listen 127.0.0.1:7100 --platform 127.0.0.1:7000 \\\n" +
			"    --id status-01 --service status --region recife --zone recife-a",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStandinUpstreamCmd(cmd.Context(), flags)
		},
	}
	set := cmd.Flags()
	set.StringVar(&flags.address, "listen", "127.0.0.1:7100", "`address` to listen on")
	set.StringVar(&flags.id, "id", "", "`id` of the endpoint")
	set.DurationVar(&flags.meanServiceTime, "mean", 20*time.Millisecond, "mean service `time`")
	set.StringVar(&flags.platform, "platform", "127.0.0.1:7000", "`address` of the platform")
	set.StringVar(&flags.region, "region", "", "`region` of the endpoint")
	set.StringVar(&flags.service, "service", "", "`name` of the service")
	set.IntVar(&flags.slots, "slots", 3, "requests that run at the same time")
	set.StringVar(&flags.zone, "zone", "", "availability `zone` of the endpoint")
	for _, name := range []string{"id", "region", "service", "zone"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

// runStandinUpstreamCmd runs an endpoint until ctx ends. It then registers as
// leaving, continues to serve for upstreamDrainDelay and stops.
func runStandinUpstreamCmd(ctx context.Context, flags standinUpstreamFlags) error {
	listener, err := listen(ctx, savorystep.Address(flags.address))
	if err != nil {
		return err
	}
	platformClient := store.NewClient(store.ClientConfig{Address: savorystep.Address(flags.platform)})
	defer platformClient.Close()
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	serveErr := standin.NewUpstream(standin.UpstreamConfig{
		ID:              savorystep.EndpointID(flags.id),
		Service:         savorystep.Service(flags.service),
		Slots:           savorystep.Slots(flags.slots),
		MeanServiceTime: flags.meanServiceTime,
		Exit:            func() { os.Exit(exitFailed) },
	}).Serve(serveCtx, listener)
	endpoint := flags.endpoint(time.Now(), listener)
	if err := platformClient.RegisterEndpoint(ctx, endpoint); err != nil {
		return err
	}
	fmt.Printf("The endpoint %s listens on %s.\n", endpoint.ID, listener.Addr())
	select {
	case err := <-serveErr:
		return ignoreServerClosed(err)
	case <-ctx.Done():
	}
	endpoint.State = savorystep.StateLeaving
	if err := platformClient.RegisterEndpoint(serveCtx, endpoint); err != nil {
		return err
	}
	time.Sleep(upstreamDrainDelay)
	stopServing()
	return ignoreServerClosed(ignoreCanceled(<-serveErr))
}

// endpoint returns the description of the endpoint for the registration.
func (f standinUpstreamFlags) endpoint(startedAt time.Time, listener net.Listener) savorystep.Endpoint {
	return savorystep.Endpoint{
		ID:              savorystep.EndpointID(f.id),
		Service:         savorystep.Service(f.service),
		Place:           savorystep.Place{Region: savorystep.Region(f.region), Zone: savorystep.Zone(f.zone)},
		State:           savorystep.StateLive,
		Address:         savorystep.Address(listener.Addr().String()),
		Slots:           savorystep.Slots(f.slots),
		MaxConnections:  330,
		StartedAtMillis: startedAt.UnixMilli(),
	}
}
