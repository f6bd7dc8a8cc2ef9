package cmd

import (
	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// drainOptions are the options of the drain command.
type drainOptions struct {
	changeFlags
	shiftFlags

	end      bool
	services []string
	to       []string
}

func newDrainCmd() *cobra.Command {
	o := &drainOptions{}
	cmd := &cobra.Command{
		Use:   "drain REGION",
		Short: "Move all traffic of a region to others",
		Long: `Move all traffic of a region to others, service by service. Without --to it
goes to the other regions of each service in proportion to their weights,
leaving out regions that are drained themselves. What shifts moved into the
region goes to the same targets. The traffic moves at the growth of shifts, and
what a region has no room for is refused, so look at the warnings of a dry run
first.`,
		Example: `  savorystep drain hobart --dry-run
  savorystep drain hobart --growth 2 --note "power work on Thursday"
  savorystep drain hobart --service orders --to launceston --cap 20
  savorystep drain hobart --end`,
		RunE: func(cmd *cobra.Command, args []string) error { return runDrainCmd(cmd, o, args[0]) },
	}
	o.changeFlags.add(cmd)
	o.shiftFlags.add(cmd)
	flags := cmd.Flags()
	flags.BoolVar(&o.end, "end", false, "end the drain: remove the shifts out of the region")
	flags.StringSliceVar(&o.services, "service", nil, "service to drain, repeatable; all if none is given")
	flags.StringSliceVar(&o.to, "to", nil, "region that takes the traffic, repeatable")
	return withArgs(cmd, cobra.ExactArgs(1))
}

func runDrainCmd(cmd *cobra.Command, o *drainOptions, region string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := o.context(cmd)
	defer cancel()
	request := operator.DrainRequest{ChangeInfo: o.info(), Region: savorystep.Region(region), EndDrain: o.end}
	request.Cap, request.GrowthPerSecond = o.limits(cmd)
	for _, to := range o.to {
		request.TargetRegions = append(request.TargetRegions, savorystep.Region(to))
	}
	for _, service := range o.services {
		request.Services = append(request.Services, savorystep.Service(service))
	}
	outcomes, err := o.changes(client).Drain(ctx, request)
	if err != nil {
		return err
	}
	return o.finish(ctx, cmd, client, outcomes...)
}
