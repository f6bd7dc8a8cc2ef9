package cmd

import (
	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// undoOptions are the options of the undo command.
type undoOptions struct {
	changeFlags

	targetVersion uint64
}

func newUndoCmd() *cobra.Command {
	o := &undoOptions{}
	cmd := &cobra.Command{
		Use:   "undo SERVICE",
		Short: "Restore an old record of a service as a new version",
		Long: `Restore an old record of a service as a new version: the one before the last
change, or the one given with --to. The history keeps all versions, so an undo
can be undone.`,
		Example: `  savorystep undo status --dry-run
  savorystep undo status
  savorystep undo status --to 10`,
		RunE:              func(cmd *cobra.Command, args []string) error { return runUndoCmd(cmd, o, args[0]) },
		ValidArgsFunction: o.completeService(0),
	}
	o.addFlags(cmd)
	cmd.Flags().Uint64Var(&o.targetVersion, "to", 0, "version to restore")
	return withArgs(cmd, cobra.ExactArgs(1))
}

func runUndoCmd(cmd *cobra.Command, o *undoOptions, service string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	changes, err := client.History(ctx, savorystep.Service(service), 1)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return savorystep.NewError(savorystep.KindNotFound, "service %s has no changes", service)
	}
	request := operator.UndoRequest{
		ChangeInfo: o.changeInfo(), Service: savorystep.Service(service),
		BaseRevision: changes[0].Revision, TargetRevision: changes[0].BaseRevision,
	}
	if o.targetVersion != 0 {
		request.TargetRevision = savorystep.Revision(o.targetVersion)
	}
	outcome, err := o.editor(client).Undo(ctx, request)
	if err != nil {
		return err
	}
	return o.reportOutcomes(ctx, cmd, client, *outcome)
}
