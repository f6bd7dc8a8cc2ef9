package operator_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"savorystep"
	"savorystep/operator"
)

// settingsBase comes before the input of cases with "base". It lacks only a way
// in for operators, and leaves the section of peers open.
const settingsBase = `[instance]
region = recife
zone = recife-a
caller = 10.1.0.1:7001
peer = 10.1.0.1:7002
operator = 10.1.0.1:7003
[platform]
address = 10.1.0.9:7000
[peer]
secret = 0123456789abcdef
`

// TestSettings guards against settings that are accepted although the instance
// could not work with them, and against faults that do not say what to change.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		input := d.Input
		if d.HasArg("base") {
			input = settingsBase + input
		}
		settings, err := operator.ParseSettings("savorystep.ini", []byte(input))
		if err != nil {
			if kind := savorystep.KindOf(err); kind != savorystep.KindBadRequest {
				t.Errorf("kind %s", kind)
			}
			return err.Error() + "\n"
		}
		var b strings.Builder
		fmt.Fprintf(&b, "instance %+v\nplatform %+v\npeer %+v\n", settings.Instance, settings.Platform, settings.Peer)
		fmt.Fprintf(&b, "operator %+v\nlimits %+v\nlog %+v\nblocks %v\n", settings.Operator, settings.Limits, settings.Log, settings.Blocks)
		return b.String()
	})
}

// TestLoadSettings guards against an unreadable file that is taken for an
// empty one.
func TestLoadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	if _, err := operator.LoadSettings(path); savorystep.KindOf(err) != savorystep.KindBadRequest || !strings.Contains(err.Error(), path) {
		t.Errorf("missing file: %v", err)
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := operator.LoadSettings(path); err == nil || !strings.Contains(err.Error(), "[instance] region: the key is missing") {
		t.Errorf("empty file: %v", err)
	}
}

// TestSettingsKeys guards against a key of the table that lacks a part of its
// description, or whose default it would refuse itself.
func TestSettingsKeys(t *testing.T) {
	seen := map[string]bool{}
	for _, key := range operator.SettingsKeys() {
		name := key.Section + "." + key.Key
		if key.Type == "" || key.Allowed == "" || key.Description == "" || seen[name] {
			t.Errorf("%s: %+v", name, key)
		}
		if key.Required && key.Default != "" {
			t.Errorf("%s is required and has a default", name)
		}
		seen[name] = true
	}
}
