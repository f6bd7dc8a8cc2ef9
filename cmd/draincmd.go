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

	endDrain      bool
	services      []string
	targetRegions []string
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
	o.changeFlags.addFlags(cmd)
	o.shiftFlags.addFlags(cmd)
	flags := cmd.Flags()
	flags.BoolVar(&o.endDrain, "end", false, "end the drain: remove the shifts out of the region")
	flags.StringSliceVar(&o.services, "service", nil, "service to drain, repeatable; all if none is given")
	flags.StringSliceVar(&o.targetRegions, "to", nil, "region that takes the traffic, repeatable")
	return withArgs(cmd, cobra.ExactArgs(1))
}

func runDrainCmd(cmd *cobra.Command, o *drainOptions, region string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	request := operator.DrainRequest{ChangeInfo: o.changeInfo(), Region: savorystep.Region(region), EndDrain: o.endDrain}
	request.Cap, request.GrowthPerSecond = o.limits(cmd)
	for _, target := range o.targetRegions {
		request.TargetRegions = append(request.TargetRegions, savorystep.Region(target))
	}
	for _, service := range o.services {
		request.Services = append(request.Services, savorystep.Service(service))
	}
	outcomes, err := o.editor(client).Drain(ctx, request)
	if err != nil {
		return err
	}
	return o.reportOutcomes(ctx, cmd, client, outcomes...)
}
