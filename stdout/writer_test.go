package stdout_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"savorystep/stdout"
)

// TestSlowReader guards against a log whose reader stops and blocks those who
// log, and against lines that are left out without a word.
func TestSlowReader(t *testing.T) {
	reader, pipe := io.Pipe()
	w := stdout.New(pipe)
	ctx, cancel := context.WithCancel(t.Context())
	done := w.Start(ctx)
	// Nobody reads, so this returns only if Write does not block.
	for n := range 10000 {
		if _, err := fmt.Fprintf(w, "line %d\n", n); err != nil {
			t.Fatal(err)
		}
	}
	if w.LeftOut() == 0 {
		t.Error("all lines were queued")
	}
	cancel()
	go func() {
		if err := <-done; err != nil {
			t.Error(err)
		}
		_ = pipe.Close()
	}()
	text, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), fmt.Sprintf("%d lines were left out", w.LeftOut())) || !strings.Contains(string(text), "line 0\n") {
		t.Errorf("%d bytes do not tell what was left out", len(text))
	}
}
