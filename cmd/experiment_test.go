package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExperiment guards against results that are not reproducible from the scenario
// and the seed, and against a page without its plots.
func TestExperiment(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.html")
	flags := experimentFlags{htmlFile: page, firstSeed: 1, seedCount: 1}
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		if err := runExperimentCmd(out, flags, []string{"../docs/experiments/coldreturn.ini"}); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() != second.String() || !strings.Contains(first.String(), "scattered") {
		t.Errorf("first run:\n%s\nsecond run:\n%s", first.String(), second.String())
	}
	data, err := os.ReadFile(page) //nolint:gosec // The test made the name.
	if err != nil {
		t.Fatal(err)
	}
	if plots := strings.Count(string(data), "<svg"); plots != 3 {
		t.Errorf("%d plots, want 3", plots)
	}
}
