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

// settingsBase is put before the input of cases with the argument base. It lacks only the
// authentication of operators. The input continues its section [peer].
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

// TestSettings guards against invalid settings that are accepted, and against error
// messages without file, line, key and allowed values.
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
				t.Errorf("error kind %s, want %s: %v", kind, savorystep.KindBadRequest, err)
			}
			return err.Error() + "\n"
		}
		var b strings.Builder
		fmt.Fprintf(&b, "instance %+v\nplatform %+v\npeer %+v\n", settings.Instance, settings.Platform, settings.Peer)
		fmt.Fprintf(&b, "operator %+v\nlimits %+v\nlog %+v\nblocks %v\n", settings.Operator, settings.Limits, settings.Log, settings.Blocks)
		return b.String()
	})
}

// TestLoadSettings guards against a missing file that is handled like an empty one, and
// against an empty one that is accepted.
func TestLoadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.ini")
	if _, err := operator.LoadSettings(path); savorystep.KindOf(err) != savorystep.KindBadRequest || !strings.Contains(err.Error(), path) {
		t.Errorf("load a missing file: error %v, want kind %s and the path", err, savorystep.KindBadRequest)
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := operator.LoadSettings(path); err == nil || !strings.Contains(err.Error(), "[instance] region: the key is missing") {
		t.Errorf("load an empty file: error %v, want a missing key", err)
	}
}

// TestSettingsKeys guards against a key that is listed twice, lacks a part of its
// description, or is required although it has a default.
func TestSettingsKeys(t *testing.T) {
	seen := map[string]bool{}
	for _, key := range operator.SettingsKeys() {
		name := key.Section + "." + key.Key
		if key.Type == "" || key.Allowed == "" || key.Description == "" || seen[name] {
			t.Errorf("%s is listed twice, or has no type, allowed values or description: %+v", name, key)
		}
		if key.Required && key.Default != "" {
			t.Errorf("%s is required and has a default", name)
		}
		seen[name] = true
	}
}
