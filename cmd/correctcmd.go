package cmd

import (
	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

func newCorrectCmd() *cobra.Command {
	o := &changeFlags{}
	cmd := &cobra.Command{
		Use:   "correct WRONG SERVICE",
		Short: "Make a misspelled name lead to a service",
		Long: `Make a misspelled name lead to a service: add it to the names of the service's
record, show the change and wait until all instances have it in force. If
another operator changes the record at the same time, the name is added to the
newer record.`,
		Example: `  savorystep unknown
  savorystep correct statsu status
  savorystep correct 'box status' status --dry-run`,
		RunE:              func(cmd *cobra.Command, args []string) error { return runCorrectCmd(cmd, o, args[0], args[1]) },
		ValidArgsFunction: o.completeServices(1),
	}
	o.add(cmd)
	return withArgs(cmd, cobra.ExactArgs(2))
}

func runCorrectCmd(cmd *cobra.Command, o *changeFlags, wrong, service string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := o.context(cmd)
	defer cancel()
	if o.note == "" {
		o.note = "correct " + wrong
	}
	outcome, err := o.changes(client).Correct(ctx, operator.CorrectRequest{
		ChangeInfo: o.info(), Name: savorystep.Name(wrong), Service: savorystep.Service(service),
	})
	if err != nil {
		return err
	}
	return o.finish(ctx, cmd, client, *outcome)
}
