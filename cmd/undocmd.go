package cmd

import (
	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// undoOptions are the options of the undo command.
type undoOptions struct {
	changeFlags

	to uint64
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
		ValidArgsFunction: o.completeServices(0),
	}
	o.add(cmd)
	cmd.Flags().Uint64Var(&o.to, "to", 0, "version to restore")
	return withArgs(cmd, cobra.ExactArgs(1))
}

func runUndoCmd(cmd *cobra.Command, o *undoOptions, service string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := o.context(cmd)
	defer cancel()
	changes, err := client.History(ctx, savorystep.Service(service), 1)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return savorystep.NewError(savorystep.KindNotFound, "service %s has no changes", service)
	}
	request := operator.UndoRequest{
		ChangeInfo: o.info(), Service: savorystep.Service(service),
		BaseRevision: changes[0].Revision, TargetRevision: changes[0].BaseRevision,
	}
	if o.to != 0 {
		request.TargetRevision = savorystep.Revision(o.to)
	}
	outcome, err := o.changes(client).Undo(ctx, request)
	if err != nil {
		return err
	}
	return o.finish(ctx, cmd, client, *outcome)
}
