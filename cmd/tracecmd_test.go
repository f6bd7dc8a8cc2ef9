package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTrace guards against a trace that contains lines of other requests, is out of
// order because of differing clocks, or lacks the lines about its endpoint.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log", `  0.1 edge I0416 08:34:22.200000    1 requestlog.go:52] ingress: request id=r1 status=502 steps=["i-7 owner load 0.0 expected 1ms: no whole answer: EOF in 9ms"]
I0416 08:34:22.300000    1 requestlog.go:52] ingress: request id=r2 status=200 steps=["i-8 owner load 0.0 expected 1ms: 200 in 9ms"]
no line of the log
`)
	b := write("b.log", `I0416 08:34:22.150000    1 watcher.go:5] ingress: endpoint i-7 is gone
I0416 08:34:22.160000    1 watcher.go:5] ingress: endpoint i-8 is gone
`)
	var out bytes.Buffer
	if err := runTraceCmd(&out, "r1", []string{a, b}, map[string]string{"b.log": "100ms"}); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "a.log ingress: request id=r1") || !strings.Contains(lines[1], "22.250 b.log ingress: endpoint i-7 is gone") {
		t.Errorf("trace:\n%s", out.String())
	}
	if err := runTraceCmd(&out, "r3", []string{a, b}, nil); err == nil {
		t.Error("trace of an unknown request: no error")
	}
}
