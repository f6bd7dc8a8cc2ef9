package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestLogTimeline guards against a timeline of the fleet that is out of order because
// of differing clocks, or that has a line per instance for the same event.
func TestLogTimeline(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	files := []string{
		write("a.log", "I1204 10:00:01.000000     12 watcher.go:109] ingress: zone z is evacuated\n"+
			"I1204 10:00:01.500000     12 requestlog.go:52] ingress: request id=1 host=h status=200\n"+
			"I1204 10:00:09.000000     12 watcher.go:109] ingress: zone z is evacuated\n"),
		write("b.log", "W1204 10:00:00.900000     13 dependency.go:22] ingress: endpoint list unavailable: status 429\n"+
			"I1204 10:00:01.100000     13 watcher.go:109] ingress: zone z is evacuated\n"),
	}
	var out bytes.Buffer
	if err := printLogEvents(&out, files, map[string]string{"b.log": "300ms"}); err != nil {
		t.Fatal(err)
	}
	const want = "12-04 10:00:01.000 ingress: zone z is evacuated (2 instances, last 400ms later)\n" +
		"12-04 10:00:01.200 ingress: endpoint list unavailable: status 429 (b.log)\n" +
		"12-04 10:00:09.000 ingress: zone z is evacuated (a.log)\n"
	if out.String() != want {
		t.Errorf("got:\n%swant:\n%s", out.String(), want)
	}
}
