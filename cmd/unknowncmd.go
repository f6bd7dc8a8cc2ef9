package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"savorystep"
	"savorystep/operator"
)

// unknownPollInterval is the interval at which --follow fetches the unknown names.
// Instances exchange their counts within about a second.
const unknownPollInterval = time.Second

// unknownOptions are the options of the unknown command.
type unknownOptions struct {
	clientFlags

	follow bool
}

func newUnknownCmd() *cobra.Command {
	o := &unknownOptions{}
	cmd := &cobra.Command{
		Use:   "unknown",
		Short: "List names that callers sent and no service has",
		Long: `List names that callers sent and no service has, the most frequent first, with
the services of similar names. The counts are summed over all instances.`,
		Example: `  savorystep unknown
  savorystep unknown --follow
  savorystep correct statsu status`,
		RunE: func(cmd *cobra.Command, _ []string) error { return runUnknownCmd(cmd, o) },
	}
	o.addFlags(cmd)
	cmd.Flags().BoolVarP(&o.follow, "follow", "f", false, "keep on and show new names as they come")
	return withArgs(cmd, cobra.NoArgs)
}

func runUnknownCmd(cmd *cobra.Command, o *unknownOptions) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	if o.follow {
		return followUnknownNames(cmd, o, client)
	}
	ctx, cancel := o.commandContext(cmd)
	defer cancel()
	names, err := client.UnknownNames(ctx)
	if err != nil {
		return err
	}
	return o.printResult(cmd, names, func(w io.Writer) { printUnknownNames(w, names) })
}

func printUnknownNames(w io.Writer, names []operator.UnknownName) {
	if len(names) == 0 {
		printf(w, "%s\n", "no unknown names")
		return
	}
	printf(w, "%s\n", "NAME\tCOUNT\tINSTANCES\tNEAREST")
	for _, name := range names {
		printf(w, "%s\t%d\t%d\t%s\n", name.Name, name.Count, name.InstanceCount, nearestServicesText(name))
	}
	for _, name := range names {
		if len(name.NearestServices) > 0 {
			printf(w, "\ncorrect the first with: %s\n", correctCommand(name))
			return
		}
	}
}

func nearestServicesText(name operator.UnknownName) string {
	if len(name.NearestServices) == 0 {
		return "-"
	}
	texts := make([]string, len(name.NearestServices))
	for i, service := range name.NearestServices {
		texts[i] = string(service)
	}
	return strings.Join(texts, ", ")
}

// correctCommand returns the command line that maps an unknown name to the nearest
// service. The name is quoted for the shell if it has special characters.
func correctCommand(name operator.UnknownName) string {
	quoted := string(name.Name)
	if strings.ContainsFunc(quoted, func(r rune) bool { return r < '0' && r != '-' && r != '.' }) {
		quoted = "'" + strings.ReplaceAll(quoted, "'", `'\''`) + "'"
	}
	return fmt.Sprintf("savorystep correct %s %s", quoted, name.NearestServices[0])
}

// followUnknownNames polls the unknown names and prints each of them once, until
// the command is interrupted.
func followUnknownNames(cmd *cobra.Command, o *unknownOptions, client *operator.Client) error {
	printed := map[savorystep.Name]bool{}
	ticker := time.NewTicker(unknownPollInterval)
	defer ticker.Stop()
	for {
		ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
		names, err := client.UnknownNames(ctx)
		cancel()
		if cmd.Context().Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for _, name := range names {
			if printed[name.Name] {
				continue
			}
			printed[name.Name] = true
			if err := printNewUnknownName(cmd, o, name); err != nil {
				return err
			}
		}
		select {
		case <-cmd.Context().Done():
			return nil
		case <-ticker.C:
		}
	}
}

func printNewUnknownName(cmd *cobra.Command, o *unknownOptions, name operator.UnknownName) error {
	if o.outputFormat == outputJSON {
		return printJSON(cmd, name)
	}
	hint := ""
	if len(name.NearestServices) > 0 {
		hint = "  correct with: " + correctCommand(name)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s (%d)%s\n", name.Name, name.Count, hint)
	return err
}
