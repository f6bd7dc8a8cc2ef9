package cmd

import (
	"github.com/spf13/cobra"

	"savorystep"
)

// usageError wraps an error in the arguments or flags of a command in an error of
// KindBadRequest that points to the help text. It returns nil for nil.
func usageError(cmd *cobra.Command, err error) error {
	if err == nil {
		return nil
	}
	return savorystep.NewError(savorystep.KindBadRequest, "%v\nRun '%s --help' for usage", err, cmd.CommandPath())
}

// withArgs sets the validation of the positional arguments of a command, and makes
// errors in its arguments and flags usage errors. It returns the command.
func withArgs(cmd *cobra.Command, validate cobra.PositionalArgs) *cobra.Command {
	cmd.Args = func(cmd *cobra.Command, positional []string) error { return usageError(cmd, validate(cmd, positional)) }
	cmd.SetFlagErrorFunc(usageError)
	return cmd
}
