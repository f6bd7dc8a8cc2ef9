package cmd

import (
	"testing"
)

// TestDemo guards against failing checks in the demo command.
func TestDemo(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 10 s")
	}
	if err := runDemoCmd(t.Context(), t.Output(), false); err != nil {
		t.Error(err)
	}
}
