package cmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/standin"
)

// newStandinPlatformCmd returns the standin platform command.
func newStandinPlatformCmd() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in of the platform's table, objects and lists",
		Long: "Run a stand-in of the platform's table, objects and lists, in memory.\n" +
			"Faults are switched on while it runs, for example\n" +
			"  curl -d '{\"down\":true}' http://127.0.0.1:7000/faults\n" +
			"To restore the table from a copy of itself that is 5 s old, in the next era:\n" +
			"  curl -d '{\"restore\":5000}' http://127.0.0.1:7000/faults",
		Example: "  savorystep standin platform --listen 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStandinPlatformCmd(cmd.Context(), savorystep.Address(address))
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:7000", "`address` to listen on")
	return cmd
}

// runStandinPlatformCmd runs the stand-in on the address until ctx ends.
func runStandinPlatformCmd(ctx context.Context, address savorystep.Address) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	fmt.Printf("The platform's stand-in listens on %s.\n", listener.Addr())
	return ignoreServerClosed(ignoreCanceled(<-standin.NewPlatform(standin.PlatformConfig{}).Serve(ctx, listener)))
}
