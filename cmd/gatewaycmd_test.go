package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"savorystep/platform"
)

// validGatewaySettings is a minimal settings file that a gateway starts with.
const validGatewaySettings = `node=machine-1
region=recife
zone=rec-boa-viagem
zones.rec-boa-viagem=recife
listen.front=10.1.0.15:8641
listen.directory=10.1.0.15:8644
listen.control=10.1.0.15:8649
platform.address=10.200.1.7:8642
bounds=grace=6s,retryRatio=0.2,retrySlack=56,retryWindow=10s,warmupExcess=1.5,warmupSlack=5
`

// TestGatewayCheck guards against errors in a settings file that --check accepts,
// and which then appear only when the platform starts the instance.
func TestGatewayCheck(t *testing.T) {
	for _, test := range []struct {
		name, text, want string
		wantErr          bool
	}{
		{name: "valid", text: validGatewaySettings, want: "6s"},
		{name: "no store", text: strings.Replace(validGatewaySettings, "platform.address", "other", 1), want: "platform.address", wantErr: true},
		{name: "wrong time", text: strings.Replace(validGatewaySettings, "grace=6s", "grace=6", 1), want: "grace", wantErr: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "local.conf")
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			t.Setenv(platform.SettingsVariable, file)
			var out bytes.Buffer
			err := runGatewayCmd(t.Context(), &out, gatewayOptions{CheckOnly: true})
			if (err != nil) != test.wantErr {
				t.Fatalf("check settings: error %v, want an error: %t", err, test.wantErr)
			}
			text := out.String()
			if err != nil {
				text = err.Error()
			}
			if !strings.Contains(text, test.want) {
				t.Errorf("%q does not contain %q", text, test.want)
			}
		})
	}
}
