package cmd

import "github.com/spf13/cobra"

// newStandinCmd returns the standin command with its subcommands.
func newStandinCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of outside systems for tests and trials",
	}
	cmd.AddCommand(newStandinPlatformCmd(), newStandinUpstreamCmd())
	return cmd
}
