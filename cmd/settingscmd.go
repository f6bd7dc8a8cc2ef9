package cmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"savorystep/operator"
)

func newSettingsCmd() *cobra.Command {
	var outputFormat string
	cmd := &cobra.Command{
		Use:   "settings [FILE]",
		Short: "List the settings of an instance, or check a settings file",
		Long: `List all keys of the settings file with type, default, allowed values and
meaning. With a file, check it; all faults are told with file, line, key and the
allowed values.`,
		Example: `  savorystep settings
  savorystep settings /etc/savorystep/savorystep.ini`,
		RunE: func(cmd *cobra.Command, args []string) error { return runSettingsCmd(cmd, outputFormat, args) },
	}
	addOutputFlag(cmd, &outputFormat)
	return withArgs(cmd, cobra.MaximumNArgs(1))
}

func runSettingsCmd(cmd *cobra.Command, outputFormat string, args []string) error {
	if err := checkOutputFormat(outputFormat); err != nil {
		return err
	}
	if len(args) == 1 {
		settings, err := operator.LoadSettings(args[0])
		if err != nil {
			return fmt.Errorf("the settings are invalid:\n%w", err)
		}
		printf(cmd.OutOrStdout(), "%s: ok, region %s, zone %s\n", args[0], settings.Instance.Region, settings.Instance.Zone)
		return nil
	}
	keys := operator.SettingsKeys()
	if outputFormat == outputJSON {
		return printJSON(cmd, keys)
	}
	return printTable(cmd, func(w io.Writer) {
		printf(w, "%s\n", "SECTION\tKEY\tTYPE\tDEFAULT\tMEANING\tALLOWED")
		for _, key := range keys {
			defaultText := key.Default
			if key.Required {
				defaultText = "(required)"
			}
			printf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", key.Section, key.Key, key.Type, defaultText, key.Description, key.Allowed)
		}
	})
}
