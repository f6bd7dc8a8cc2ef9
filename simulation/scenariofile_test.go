package simulation_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"savorystep/simulation"
)

// TestParseScenario guards against mistakes in a scenario file that are silently
// parsed as zero values. Each case replaces one line of a valid file.
func TestParseScenario(t *testing.T) {
	valid, err := os.ReadFile("../docs/experiments/coldreturn.ini")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/scenariofile", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		old, replacement, _ := strings.Cut(strings.TrimSpace(d.Input), " -> ")
		text := strings.Replace(string(valid), old, replacement, 1)
		scenario, err := simulation.ParseScenario("test", []byte(text))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d instances, %d endpoints, work %v, events %+v\n", scenario.Instances, scenario.Endpoints, scenario.MeanWork, scenario.Events)
	})
}

// TestExperimentFiles guards against scenario files in docs/experiments that cannot
// be run, and against requests that a run counts twice or not at all.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../docs/experiments/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("found %d scenario files in docs/experiments, want at least 1; error %v", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		scenario, err := simulation.ParseScenario(file, data)
		if err != nil {
			t.Fatal(err)
		}
		result := simulation.Run(scenario, simulation.DefaultPolicy())
		if sum := result.InTarget + result.Late + result.Refused + result.Failed; sum == 0 || sum != result.Requests {
			t.Errorf("%s: the counts of ended requests add up to %d, want %d and more than 0", file, sum, result.Requests)
		}
	}
}
