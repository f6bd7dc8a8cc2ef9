package cmd

import (
	"context"

	"github.com/spf13/cobra"

	"savorystep/platform"
)

// newGatewayCmd returns the gateway command.
func newGatewayCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "gateway",
		Short:   "Run an entry instance on the users' platform",
		Example: "  " + platform.SettingsVariable + "=local.conf savorystep gateway",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runGatewayCmd(cmd.Context())
		},
	}
}

// runGatewayCmd serves until ctx ends.
func runGatewayCmd(ctx context.Context) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	built, err := buildGateway(settings)
	if err != nil {
		return err
	}
	return built.Run(ctx)
}
