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
		ValidArgsFunction: o.completeService(1),
	}
	o.addFlags(cmd)
	return withArgs(cmd, cobra.ExactArgs(2))
}

func runCorrectCmd(cmd *cobra.Command, o *changeFlags, misspelled, service string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	if o.note == "" {
		o.note = "correct " + misspelled
	}
	outcome, err := o.editor(client).Correct(ctx, operator.CorrectRequest{
		ChangeInfo: o.changeInfo(), Name: savorystep.Name(misspelled), Service: savorystep.Service(service),
	})
	if err != nil {
		return err
	}
	return o.reportOutcomes(ctx, cmd, client, *outcome)
}
