package cmd

import (
	"github.com/spf13/cobra"

	"savorystep"
)

// usageError gives an error of the command line its kind.
func usageError(cmd *cobra.Command, err error) error {
	if err == nil {
		return nil
	}
	return savorystep.NewError(savorystep.KindBadRequest, "%v\nRun '%s --help' for usage", err, cmd.CommandPath())
}

// withArgs checks the number of arguments of a command, and gives wrong
// arguments and flags the exit code of a usage error.
func withArgs(cmd *cobra.Command, args cobra.PositionalArgs) *cobra.Command {
	cmd.Args = func(cmd *cobra.Command, a []string) error { return usageError(cmd, args(cmd, a)) }
	cmd.SetFlagErrorFunc(usageError)
	return cmd
}
