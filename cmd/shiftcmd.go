package cmd

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// shiftOptions are the options of the shift command.
type shiftOptions struct {
	changeFlags

	limit  int
	growth int
}

func newShiftCmd() *cobra.Command {
	o := &shiftOptions{}
	cmd := &cobra.Command{
		Use:   "shift SERVICE FROM TO PERCENT",
		Short: "Move a part of a service's traffic to another region",
		Long: `Move a part of the traffic that one region would receive to another. The part
grows from where it is now; 0 percent ends the shift. The change sets the shift
as a whole: a cap that is not given is no cap.`,
		Example: `  savorystep shift status recife natal 20 --cap 30 --dry-run
  savorystep shift status recife natal 20 --cap 30 --growth 2
  savorystep shift status recife natal 0`,
		RunE:              func(cmd *cobra.Command, args []string) error { return runShiftCmd(cmd, o, args) },
		ValidArgsFunction: o.completeServices(0),
	}
	o.add(cmd)
	cmd.Flags().IntVar(&o.limit, "cap", 0, "most requests of the shift in flight at once over all instances; 0 for no cap of its own")
	cmd.Flags().IntVar(&o.growth, "growth", 0, fmt.Sprintf("most percent points by which the part grows per second; 0 for %d", savorystep.DefaultGrowth))
	return withArgs(cmd, cobra.ExactArgs(4))
}

func runShiftCmd(cmd *cobra.Command, o *shiftOptions, args []string) error {
	percent, err := strconv.Atoi(strings.TrimSuffix(args[3], "%"))
	if err != nil {
		return usageError(cmd, fmt.Errorf("%q is not a percentage", args[3]))
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := o.context(cmd)
	defer cancel()
	outcome, err := o.changes(client).Shift(ctx, operator.ShiftRequest{
		ChangeInfo: o.info(), Service: savorystep.Service(args[0]),
		Shift: savorystep.Shift{
			From: savorystep.Region(args[1]), To: savorystep.Region(args[2]), Percent: percent,
			Cap: savorystep.Slots(o.limit), Growth: o.growth,
		},
	})
	if err != nil {
		return err
	}
	return o.finish(ctx, cmd, client, *outcome)
}
