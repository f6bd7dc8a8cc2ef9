package cmd

import (
	"bytes"
	"strings"
	"testing"

	"k8s.io/klog/v2"

	"savorystep/stdout"
)

// TestEachLineIsLoggedOnce guards against a gateway that logs each warning twice and each
// error three times, once for every severity up to its own.
func TestEachLineIsLoggedOnce(t *testing.T) {
	var output bytes.Buffer
	g := &gateway{logWriter: stdout.New(&output)}
	stop := g.startLogWriter()
	t.Cleanup(func() { klog.LogToStderr(true) })
	gatewayLogger.Infof("an info line")
	gatewayLogger.Warningf("a warning line")
	gatewayLogger.Errorf("an error line")
	stop()
	for _, line := range []string{"an info line", "a warning line", "an error line"} {
		if count := strings.Count(output.String(), line); count != 1 {
			t.Errorf("%q is logged %d times, want once", line, count)
		}
	}
}
