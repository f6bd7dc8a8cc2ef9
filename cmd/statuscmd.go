package cmd

import (
	"io"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

func newStatusCmd() *cobra.Command {
	o := &clientFlags{}
	var gatewayAddress string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show instances, revisions and load as one instance sees them",
		Example: `  savorystep status
  savorystep status --server 10.1.0.1:7003 --output json
  savorystep status --gateway 10.5.64.8:9100`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if gatewayAddress != "" {
				return runGatewayStatusCmd(cmd, o, savorystep.Address(gatewayAddress))
			}
			return runStatusCmd(cmd, o)
		},
	}
	o.addFlags(cmd)
	cmd.Flags().StringVar(&gatewayAddress, "gateway", "", "metrics address of a gateway; shows which endpoints get no requests from it, why and for how long")
	return withArgs(cmd, cobra.NoArgs)
}

func runStatusCmd(cmd *cobra.Command, o *clientFlags) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return o.printResult(cmd, status, func(w io.Writer) { printStatus(w, status) })
}

// runGatewayStatusCmd prints the status of a gateway, which has no operators' listener.
func runGatewayStatusCmd(cmd *cobra.Command, o *clientFlags, address savorystep.Address) error {
	if err := checkOutputFormat(o.outputFormat); err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	status, err := fetchGatewayStatus(ctx, address)
	if err != nil {
		return err
	}
	return o.printResult(cmd, status, func(w io.Writer) { printGatewayStatus(w, status) })
}

func printStatus(w io.Writer, status *operator.Status) {
	state := "ready"
	if !status.Ready {
		state = "not ready: " + status.Reason
	}
	printf(w, "%s in %s is %s, revision %d in force\n\n", status.Self.ID, status.Self.Place.Zone, state, status.Revision)
	printf(w, "%s\n", "INSTANCE\tREGION\tZONE\tSTATE\tREVISION\tRATE\tHEARTBEAT")
	for _, m := range status.Members {
		printf(w, "%s\t%s\t%s\t%s\t%d\t%.1f/s\t%d ms ago\n", m.ID, m.Place.Region, m.Place.Zone, memberStateText(m), m.Revision, m.RequestRate, m.HeartbeatAgeMillis)
	}
	printf(w, "%s\n", "\nSERVICE\tVERSION\tREGION\tUSED\tSLOTS\tQUEUED\tENDPOINTS")
	for _, service := range status.Services {
		for _, r := range service.Regions {
			printf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%d of %d\n", service.Service, service.RecordRevision, r.Region, r.UsedSlots, r.Slots, r.Queued, r.UsableEndpoints, r.Endpoints)
		}
		if len(service.Regions) == 0 {
			printf(w, "%s\t%d\t-\n", service.Service, service.RecordRevision)
		}
	}
}

func memberStateText(m operator.MemberStatus) string {
	switch {
	case m.Leaving:
		return "leaving"
	case m.LinkSuspect:
		return "suspects its link"
	case m.Ready:
		return "ready"
	default:
		return "not ready"
	}
}
