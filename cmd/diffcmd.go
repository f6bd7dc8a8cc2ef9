package cmd

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"savorystep"
)

func newDiffCmd() *cobra.Command {
	o := &clientFlags{}
	cmd := &cobra.Command{
		Use:   "diff SERVICE [FROM [TO]]",
		Short: "Compare two versions of a record",
		Long: `Compare two versions of a record. Without TO the version in force is taken,
without FROM the one before TO.`,
		Example: `  savorystep diff status
  savorystep diff status 10
  savorystep diff status 10 14`,
		RunE:              func(cmd *cobra.Command, args []string) error { return runDiffCmd(cmd, o, args) },
		ValidArgsFunction: o.completeService(0),
	}
	o.addFlags(cmd)
	return withArgs(cmd, cobra.RangeArgs(1, 3))
}

func runDiffCmd(cmd *cobra.Command, o *clientFlags, args []string) error {
	versions := [2]savorystep.Revision{}
	for i, text := range args[1:] {
		version, err := parseVersion(cmd, text)
		if err != nil {
			return err
		}
		versions[i] = version
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	diff, err := client.Diff(ctx, savorystep.Service(args[0]), versions[0], versions[1])
	if err != nil {
		return err
	}
	if o.outputFormat == outputJSON {
		return printJSON(cmd, diff)
	}
	printf(cmd.OutOrStdout(), "%s", diff.Diff)
	return nil
}

// parseVersion parses a version, which is 1 or more.
func parseVersion(cmd *cobra.Command, text string) (savorystep.Revision, error) {
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || n == 0 {
		return 0, usageError(cmd, fmt.Errorf("%q is not a version; allowed: integers of 1 or more", text))
	}
	return savorystep.Revision(n), nil
}
