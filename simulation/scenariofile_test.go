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

// TestParseScenario guards against scenario files whose mistakes are taken for
// zeros. Each case changes one line of a good file.
func TestParseScenario(t *testing.T) {
	good, err := os.ReadFile("../docs/experiments/coldreturn.ini")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/scenariofile", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		from, to, _ := strings.Cut(strings.TrimSpace(d.Input), " -> ")
		text := strings.Replace(string(good), from, to, 1)
		scenario, err := simulation.ParseScenario("test", []byte(text))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d instances, %d endpoints, work %v, events %+v\n", scenario.Instances, scenario.Endpoints, scenario.MeanWork, scenario.Events)
	})
}

// TestExperiments guards against scenario files of the documentation that can't
// be played.
func TestExperiments(t *testing.T) {
	files, err := filepath.Glob("../docs/experiments/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
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
			t.Errorf("%s: %d of %d requests are accounted for", file, sum, result.Requests)
		}
	}
}
