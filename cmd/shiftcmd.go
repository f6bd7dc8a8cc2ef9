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
	shiftFlags
}

func newShiftCmd() *cobra.Command {
	o := &shiftOptions{}
	cmd := &cobra.Command{
		Use:   "shift SERVICE FROM TO PERCENT",
		Short: "Move a part of a service's traffic to another region",
		Long: `Move a part of the traffic that one region would receive to another. The part
grows from where it is now; 0 percent ends the shift. A cap and a growth that
are not given stay as they are.`,
		Example: `  savorystep shift status recife natal 20 --cap 30 --dry-run
  savorystep shift status recife natal 20 --cap 30 --growth 2
  savorystep shift status recife natal 0`,
		RunE:              func(cmd *cobra.Command, args []string) error { return runShiftCmd(cmd, o, args) },
		ValidArgsFunction: o.completeService(0),
	}
	o.changeFlags.addFlags(cmd)
	o.shiftFlags.addFlags(cmd)
	return withArgs(cmd, cobra.ExactArgs(4))
}

func runShiftCmd(cmd *cobra.Command, o *shiftOptions, args []string) error {
	percent, err := strconv.Atoi(strings.TrimSuffix(args[3], "%"))
	if err != nil {
		return usageError(cmd, fmt.Errorf("%q is not a percentage; allowed: integers such as 20 or 20%%", args[3]))
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	request := operator.ShiftRequest{
		ChangeInfo: o.changeInfo(), Service: savorystep.Service(args[0]),
		From: savorystep.Region(args[1]), To: savorystep.Region(args[2]), Percent: percent,
	}
	request.Cap, request.GrowthPerSecond = o.limits(cmd)
	outcome, err := o.editor(client).Shift(ctx, request)
	if err != nil {
		return err
	}
	return o.reportOutcomes(ctx, cmd, client, *outcome)
}
