package cmd

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
	"savorystep/operator"
)

// TestMetricsReference guards against a metric that docs/reference.md does not
// name. It does not cover metrics with labels, because these are gathered only
// after their first use.
func TestMetricsReference(t *testing.T) {
	page, err := os.ReadFile("../docs/reference.md")
	if err != nil {
		t.Fatal(err)
	}
	container, err := newContainer(instanceConfig{Clock: savorystep.SystemClock{}, Settings: &operator.Settings{}})
	if err != nil {
		t.Fatal(err)
	}
	err = container.Invoke(func(_ *instance, registry *prometheus.Registry) {
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, family := range families {
			if !strings.HasPrefix(family.GetName(), "savorystep_") {
				continue
			}
			found++
			if !strings.Contains(string(page), "`"+family.GetName()+"`") {
				t.Errorf("docs/reference.md does not name %s", family.GetName())
			}
		}
		if found < 10 {
			t.Errorf("gathered %d metrics, want at least 10", found)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
