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

// upstreamDrainDelay is how long a leaving upstream waits between telling the
// platform and closing its listener, so that entries learn of it.
const upstreamDrainDelay = 5 * time.Second

// standinUpstreamFlags are the flags of the standin upstream command.
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

// runStandinUpstreamCmd serves until ctx ends, then leaves gracefully.
func runStandinUpstreamCmd(ctx context.Context, flags standinUpstreamFlags) error {
	listener, err := listen(ctx, savorystep.Address(flags.address))
	if err != nil {
		return err
	}
	client := store.NewClient(store.ClientConfig{Address: savorystep.Address(flags.platform)})
	defer client.Close()
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := standin.NewUpstream(standin.UpstreamConfig{
		ID:              savorystep.EndpointID(flags.id),
		Service:         savorystep.Service(flags.service),
		Slots:           savorystep.Slots(flags.slots),
		MeanServiceTime: flags.meanServiceTime,
		Exit:            func() { os.Exit(exitFailed) },
	}).Serve(serving, listener)
	endpoint := flags.endpoint(listener)
	if err := client.RegisterEndpoint(ctx, endpoint); err != nil {
		return err
	}
	fmt.Printf("The endpoint %s listens on %s.\n", endpoint.ID, listener.Addr())
	select {
	case err := <-served:
		return ignoreServerClosed(err)
	case <-ctx.Done():
	}
	endpoint.State = savorystep.StateLeaving
	if err := client.RegisterEndpoint(serving, endpoint); err != nil {
		return err
	}
	time.Sleep(upstreamDrainDelay)
	stop()
	return ignoreServerClosed(ignoreCanceled(<-served))
}

// endpoint describes the endpoint to the platform.
func (f standinUpstreamFlags) endpoint(listener net.Listener) savorystep.Endpoint {
	return savorystep.Endpoint{
		ID:             savorystep.EndpointID(f.id),
		Service:        savorystep.Service(f.service),
		Place:          savorystep.Place{Region: savorystep.Region(f.region), Zone: savorystep.Zone(f.zone)},
		State:          savorystep.StateLive,
		Address:        savorystep.Address(listener.Addr().String()),
		Slots:          savorystep.Slots(f.slots),
		MaxConnections: 330,
	}
}
