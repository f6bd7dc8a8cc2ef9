package cmd

import (
	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// getOptions are the options of the get command.
type getOptions struct {
	clientFlags

	schemaVersion int
}

func newGetCmd() *cobra.Command {
	o := &getOptions{}
	cmd := &cobra.Command{
		Use:   "get SERVICE",
		Short: "Show the record of a service",
		Long:  "Show the record of a service in the form that apply reads.",
		Example: `  savorystep get status
  savorystep get status > status.ini
  savorystep get status --schema 1`,
		RunE:              func(cmd *cobra.Command, args []string) error { return runGetCmd(cmd, o, args[0]) },
		ValidArgsFunction: o.completeService(0),
	}
	o.addFlags(cmd)
	cmd.Flags().IntVar(&o.schemaVersion, "schema", 0, "schema to write the record in, 1 or 2; 0 for its own")
	return withArgs(cmd, cobra.ExactArgs(1))
}

func runGetCmd(cmd *cobra.Command, o *getOptions, service string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	status, err := client.Record(ctx, savorystep.Service(service))
	if err != nil {
		return err
	}
	if o.outputFormat == outputJSON {
		return printJSON(cmd, status)
	}
	schema := o.schemaVersion
	if schema == 0 {
		schema = status.Record.Schema
	}
	data, err := operator.FormatRecord(status.Record, schema)
	if err != nil {
		return err
	}
	printf(cmd.OutOrStdout(), "# version %d\n%s", status.RecordRevision, data)
	return nil
}
