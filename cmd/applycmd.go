package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// applyOptions are the options of the apply command.
type applyOptions struct {
	changeFlags

	baseVersion int64
}

func newApplyCmd() *cobra.Command {
	o := &applyOptions{}
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a record in force",
		Long: `Put a steering record in force and wait until all instances have it.

The file is checked first. Without --base the change replaces the version that
is in force now; with it the change is refused if another operator was faster.`,
		Example: `  savorystep get status > status.ini
  savorystep apply status.ini --dry-run
  savorystep apply status.ini --note "move two racks"
  savorystep apply status.ini --base 12`,
		RunE: func(cmd *cobra.Command, args []string) error { return runApplyCmd(cmd, o, args[0]) },
	}
	o.addFlags(cmd)
	cmd.Flags().Int64Var(&o.baseVersion, "base", -1, "version that the change replaces, 0 for a new service; refused if another one is in force")
	return withArgs(cmd, cobra.ExactArgs(1))
}

func runApplyCmd(cmd *cobra.Command, o *applyOptions, file string) error {
	record, err := readRecord(cmd, file)
	if err != nil {
		return err
	}
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	base := savorystep.Revision(max(o.baseVersion, 0))
	if o.baseVersion < 0 {
		status, err := client.Record(ctx, record.Service)
		switch savorystep.KindOf(err) {
		case savorystep.KindNone:
			base = status.RecordRevision
		case savorystep.KindNotFound:
		default:
			return err
		}
	}
	outcome, err := o.editor(client).Apply(ctx, operator.ApplyRequest{ChangeInfo: o.changeInfo(), BaseRevision: base, Record: record})
	if err != nil {
		return err
	}
	return o.reportOutcomes(ctx, cmd, client, *outcome)
}

// readRecord reads a record from a file, or from the standard input if the path
// is "-".
func readRecord(cmd *cobra.Command, path string) (*savorystep.Record, error) {
	var data []byte
	var err error
	if path == "-" {
		path = "standard input"
		data, err = io.ReadAll(cmd.InOrStdin())
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "read record file")
	}
	record, err := operator.ParseRecord(path, data)
	if err != nil {
		return nil, fmt.Errorf("the record is invalid:\n%w", err)
	}
	return record, nil
}
