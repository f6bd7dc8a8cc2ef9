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

// unknownPoll is the interval at which unknown names are looked at while
// following; instances exchange them within about a second.
const unknownPoll = time.Second

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
	o.add(cmd)
	cmd.Flags().BoolVarP(&o.follow, "follow", "f", false, "keep on and show new names as they come")
	return withArgs(cmd, cobra.NoArgs)
}

func runUnknownCmd(cmd *cobra.Command, o *unknownOptions) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	if o.follow {
		return followUnknown(cmd, o, client)
	}
	ctx, cancel := o.context(cmd)
	defer cancel()
	names, err := client.UnknownNames(ctx)
	if err != nil {
		return err
	}
	return o.print(cmd, names, func(w io.Writer) { printUnknown(w, names) })
}

func printUnknown(w io.Writer, names []operator.UnknownName) {
	if len(names) == 0 {
		printf(w, "%s\n", "no unknown names")
		return
	}
	printf(w, "%s\n", "NAME\tCOUNT\tINSTANCES\tNEAREST")
	for _, name := range names {
		printf(w, "%s\t%d\t%d\t%s\n", name.Name, name.Count, name.InstanceCount, nearestText(name))
	}
	for _, name := range names {
		if len(name.NearestServices) > 0 {
			printf(w, "\ncorrect the first with: %s\n", correction(name))
			return
		}
	}
}

func nearestText(name operator.UnknownName) string {
	if len(name.NearestServices) == 0 {
		return "-"
	}
	texts := make([]string, len(name.NearestServices))
	for i, service := range name.NearestServices {
		texts[i] = string(service)
	}
	return strings.Join(texts, ", ")
}

// correction returns the command that corrects a name.
func correction(name operator.UnknownName) string {
	text := string(name.Name)
	if strings.ContainsFunc(text, func(r rune) bool { return r < '0' && r != '-' && r != '.' }) {
		text = "'" + strings.ReplaceAll(text, "'", `'\''`) + "'"
	}
	return fmt.Sprintf("savorystep correct %s %s", text, name.NearestServices[0])
}

// followUnknown prints each unknown name once until the command is
// interrupted.
func followUnknown(cmd *cobra.Command, o *unknownOptions, client *operator.Client) error {
	seen := map[savorystep.Name]bool{}
	ticker := time.NewTicker(unknownPoll)
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
			if seen[name.Name] {
				continue
			}
			seen[name.Name] = true
			if err := printNewUnknown(cmd, o, name); err != nil {
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

func printNewUnknown(cmd *cobra.Command, o *unknownOptions, name operator.UnknownName) error {
	if o.output == outputJSON {
		return printJSON(cmd, name)
	}
	hint := ""
	if len(name.NearestServices) > 0 {
		hint = "  correct with: " + correction(name)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s (%d)%s\n", name.Name, name.Count, hint)
	return err
}
