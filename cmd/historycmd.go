package cmd

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
)

// historyOptions are the options of the history command.
type historyOptions struct {
	clientFlags

	maxChanges int
}

func newHistoryCmd() *cobra.Command {
	o := &historyOptions{}
	cmd := &cobra.Command{
		Use:   "history [SERVICE]",
		Short: "List the last changes, newest first",
		Example: `  savorystep history
  savorystep history status --limit 5`,
		RunE: func(cmd *cobra.Command, args []string) error {
			return runHistoryCmd(cmd, o, append(args, "")[0])
		},
		ValidArgsFunction: o.completeService(0),
	}
	o.addFlags(cmd)
	cmd.Flags().IntVar(&o.maxChanges, "limit", 20, "most changes to list")
	return withArgs(cmd, cobra.MaximumNArgs(1))
}

func runHistoryCmd(cmd *cobra.Command, o *historyOptions, service string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	changes, err := client.History(ctx, savorystep.Service(service), max(o.maxChanges, 0))
	if err != nil {
		return err
	}
	return o.printResult(cmd, changes, func(w io.Writer) {
		printf(w, "%s\n", "VERSION\tTIME\tSERVICE\tREPLACES\tAUTHOR\tNOTE")
		for _, change := range changes {
			replaces := "-"
			if change.BaseRevision != 0 {
				replaces = fmt.Sprint(change.BaseRevision)
			}
			note := change.Note
			if change.Record == nil {
				note = "(removed) " + note
			}
			printf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", change.Revision, change.Time.UTC().Format(time.RFC3339), change.Service, replaces, change.Author, note)
		}
	})
}
