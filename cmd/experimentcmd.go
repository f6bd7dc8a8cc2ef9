package cmd

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"savorystep/simulation"
)

// defaultExperimentSeedCount is the default number of seeds over which results are
// summed. With 12, the shares of two equivalent policies differ by less than 0.01.
const defaultExperimentSeedCount = 12

// experimentFlags are the values of the flags of the experiment command.
type experimentFlags struct {
	htmlFile  string
	firstSeed uint64
	seedCount int
}

// newExperimentCmd returns the experiment command.
func newExperimentCmd() *cobra.Command {
	var flags experimentFlags
	cmd := &cobra.Command{
		Use:   "experiment FILE...",
		Short: "Compare policies for choosing endpoints in virtual time",
		Long: "Run scenario files in virtual time and compare policies for choosing endpoints:\n" +
			"  default    the policy of the gateway\n" +
			"  patient    sends requests even if no endpoint is expected to answer in time\n" +
			"  scattered  chooses endpoints without affinity to the object of a request\n" +
			"A run uses no network, and the same scenario and seed give the same result.",
		Example: "  savorystep experiment docs/experiments/shorttimeout.ini --html page.html",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runExperimentCmd(cmd.OutOrStdout(), flags, args)
		},
	}
	cmd.Flags().StringVar(&flags.htmlFile, "html", "", "write a page with plots to this `file`")
	cmd.Flags().Uint64Var(&flags.firstSeed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&flags.seedCount, "seeds", defaultExperimentSeedCount, "number of seeds that are added up")
	return cmd
}

// An experiment is a scenario with the results of each policy.
type experiment struct {
	Scenario simulation.Scenario
	Results  []*simulation.Result
}

// runExperimentCmd simulates the scenario files, prints the results, and writes the
// page if --html is given.
func runExperimentCmd(out io.Writer, flags experimentFlags, files []string) error {
	experiments := make([]experiment, 0, len(files))
	for _, file := range files {
		data, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		scenario, err := simulation.ParseScenario(name, data)
		if err != nil {
			return err
		}
		result := runPolicies(scenario, flags)
		if err := printExperiment(out, result); err != nil {
			return err
		}
		experiments = append(experiments, result)
	}
	if flags.htmlFile == "" {
		return nil
	}
	return writeExperimentPage(flags.htmlFile, experiments)
}

// runPolicies simulates a scenario under each policy and sums the results over the
// seeds.
func runPolicies(scenario simulation.Scenario, flags experimentFlags) experiment {
	result := experiment{Scenario: scenario}
	for _, policy := range simulation.Policies() {
		scenario.Seed = flags.firstSeed
		sum := simulation.Run(scenario, policy)
		for range flags.seedCount - 1 {
			scenario.Seed++
			sum.Add(simulation.Run(scenario, policy))
		}
		result.Results = append(result.Results, sum)
	}
	return result
}

// printExperiment prints a table of the results.
func printExperiment(out io.Writer, e experiment) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s\tin target\tlate\trefused\tfailed\tp50\tp99\twasted\tcold/s (bound %.1f)\n", e.Scenario.Name, e.Scenario.Limits.ColdBound())
	for _, r := range e.Results {
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%v\t%d\n", r.Policy.Name,
			r.Share(r.InTarget), r.Share(r.Late), r.Share(r.Refused), r.Share(r.Failed),
			r.Percentile(50).Round(time.Millisecond), r.Percentile(99).Round(time.Millisecond), //nolint:mnd // Percentiles.
			r.Wasted.Round(time.Second), r.MaxColdPerSecond)
	}
	return table.Flush()
}
