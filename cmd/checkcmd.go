package cmd

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// checkOptions are the options of the check command.
type checkOptions struct {
	migrate   bool
	writeFile bool
}

func newCheckCmd() *cobra.Command {
	o := &checkOptions{}
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check record files without a connection",
		Long: `Check record files without a connection. All faults are told with file, line,
key and the allowed values.

With --migrate the change of a file from schema 1 to schema 2 is shown, and
with --write it is made. Schema 1 stays valid; a migration is never needed.`,
		Example: `  savorystep check records/*.ini
  savorystep check status.ini --migrate
  savorystep check status.ini --migrate --write`,
		RunE: func(cmd *cobra.Command, args []string) error { return runCheckCmd(cmd, o, args) },
	}
	cmd.Flags().BoolVar(&o.migrate, "migrate", false, "show the change from schema 1 to schema 2")
	cmd.Flags().BoolVar(&o.writeFile, "write", false, "with --migrate: write the file")
	return withArgs(cmd, cobra.MinimumNArgs(1))
}

func runCheckCmd(cmd *cobra.Command, o *checkOptions, paths []string) error {
	if o.writeFile && !o.migrate {
		return usageError(cmd, errors.New("--write needs --migrate"))
	}
	out := cmd.OutOrStdout()
	var errs []error
	for _, path := range paths {
		record, err := readRecord(cmd, path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		printf(out, "%s: ok, service %s, schema %d, names %d, shares %d, shifts %d\n", path, record.Service, record.Schema, len(record.Aliases), len(record.Shares), len(record.Shifts))
		if !o.migrate {
			continue
		}
		if err := migrateFile(cmd, o, path, record); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

func migrateFile(cmd *cobra.Command, o *checkOptions, path string, record *savorystep.Record) error {
	migrated, diff, err := operator.MigrateRecord(record)
	if err != nil {
		return err
	}
	if diff == "" {
		printf(cmd.OutOrStdout(), "%s\n", "  is in schema 2 already")
		return nil
	}
	printf(cmd.OutOrStdout(), "%s", diff)
	if !o.writeFile {
		return nil
	}
	data, err := operator.FormatRecord(migrated, migrated.Schema)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
