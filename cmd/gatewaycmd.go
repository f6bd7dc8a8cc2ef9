package cmd

import (
	"context"

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
			return runGatewayCmd(cmd.Context(), options)
		},
	}
	cmd.Flags().IntVar(&options.Metrics, "metrics", 0, "`port` of the metrics on the instance's address, 0 for none")
	return cmd
}

// runGatewayCmd serves until ctx ends.
func runGatewayCmd(ctx context.Context, options gatewayOptions) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	built, err := buildGateway(settings, options)
	if err != nil {
		return err
	}
	return built.Run(ctx)
}
