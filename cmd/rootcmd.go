package cmd

import "github.com/spf13/cobra"

// newRootCmd returns the savorystep command with its subcommands.
func newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:           "savorystep",
		Short:         "Steer traffic between callers and upstreams",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newDemoCmd(), newExperimentCmd(), newGatewayCmd(), newLoadCmd(), newServeCmd(), newStandinCmd(), newTraceCmd())
	root.AddCommand(operatorCmds()...)
	return root
}
