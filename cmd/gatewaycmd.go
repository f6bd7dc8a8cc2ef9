package cmd

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"savorystep/platform"
)

// newGatewayCmd returns the gateway command.
func newGatewayCmd() *cobra.Command {
	var options gatewayOptions
	cmd := &cobra.Command{
		Use:     "gateway",
		Short:   "Run an entry instance on the users' platform",
		Example: "  " + platform.SettingsVariable + "=local.conf savorystep gateway",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runGatewayCmd(cmd.Context(), cmd.OutOrStdout(), options)
		},
	}
	cmd.Flags().BoolVar(&options.CheckOnly, "check", false, "check the settings file, print what is in force and exit")
	cmd.Flags().IntVar(&options.MetricsPort, "metrics", 0, "`port` of the metrics on the instance's address, 0 for none")
	return cmd
}

// runGatewayCmd runs a gateway until ctx ends, or checks and prints the settings.
func runGatewayCmd(ctx context.Context, out io.Writer, options gatewayOptions) error {
	hangups := notifyHangups()
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if options.CheckOnly {
		return printGatewaySettings(out, settings)
	}
	limitRuntimeMemory(settings.MemoryLimitBytes)
	g, err := buildGateway(settings, options)
	if err != nil {
		return err
	}
	return g.Run(ctx, hangups)
}

// runtimeMemoryShare is the share of the memory limit that the Go runtime may use before
// it collects garbage more often. The bodies that are held use up to half of the limit,
// and what the runtime doesn't count, such as bytes in sockets, has to fit the rest.
const runtimeMemoryShare = 0.7

// limitRuntimeMemory sets the soft limit of the Go runtime for a process that is killed
// above a memory limit. By default, the heap grows to twice the size of what is in use.
func limitRuntimeMemory(limitBytes int64) {
	if limitBytes > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(limitBytes)))
	}
}

// printGatewaySettings prints a table of the settings in force, defaults included.
func printGatewaySettings(out io.Writer, s platform.Settings) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		meaning string
		value   any
	}{
		{meaning: "node", value: s.Node},
		{meaning: "availability zone", value: fmt.Sprintf("%s in %s, %d known", s.Place.Zone, s.Place.Region, len(s.RegionByZone))},
		{meaning: "callers", value: s.CallerAddress},
		{meaning: "lookups", value: s.DirectoryAddress},
		{meaning: "peers", value: fmt.Sprintf("%s, seeds %v", s.PeerAddress, s.Seeds)},
		{meaning: "checks of readiness", value: s.ReadinessAddress},
		{meaning: "store", value: s.StoreAddress},
		{meaning: "time from SIGTERM to SIGKILL", value: s.Bounds.TerminationGrace},
		{meaning: "repeats of a service's requests", value: fmt.Sprintf("%v and %v in %v", s.Bounds.RetryRatio, s.Bounds.RetrySlack, s.Bounds.RetryWindow)},
		{meaning: "requests at a cold endpoint", value: fmt.Sprintf("%v times its rate and %v a second", s.Bounds.ColdFactor, s.Bounds.ColdSlack)},
	} {
		_, _ = fmt.Fprintf(table, "%s\t%v\n", row.meaning, row.value)
	}
	return table.Flush()
}
