package stdout_test

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"savorystep/stdout"
)

// TestSlowReader guards against a reader of the output that stops reading and so
// blocks the goroutines that log, and against dropped lines that aren't reported.
func TestSlowReader(t *testing.T) {
	reader, pipe := io.Pipe()
	w := stdout.New(pipe)
	ctx, cancel := context.WithCancel(t.Context())
	done := w.Start(ctx)
	// Nothing reads from the pipe, so the loop ends only if Write doesn't block.
	for n := range 10000 {
		if _, err := fmt.Fprintf(w, "line %d\n", n); err != nil {
			t.Fatal(err)
		}
	}
	if w.DroppedLines() == 0 {
		t.Error("no line was dropped, the queue has no limit")
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
	if reported := reportedDrops(t, string(text)); reported != w.DroppedLines() || !strings.Contains(string(text), "line 0\n") {
		t.Errorf("output of %d bytes reports %d dropped lines, want %d and the first line", len(text), reported, w.DroppedLines())
	}
}

// droppedLinesPattern matches a line with the number of lines dropped since the
// last such line.
var droppedLinesPattern = regexp.MustCompile(`(?m)^stdout: dropped (\d+) lines, the reader of the output is too slow$`)

// reportedDrops returns the sum of the dropped lines that text reports. There are
// several reports if lines were dropped before the writer started and again later.
func reportedDrops(t *testing.T, text string) uint64 {
	t.Helper()
	var sum uint64
	for _, match := range droppedLinesPattern.FindAllStringSubmatch(text, -1) {
		count, err := strconv.ParseUint(match[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += count
	}
	return sum
}

// TestLateStart guards against dropped lines that are missing from the reports if
// the writer starts after some were dropped and more are dropped later.
func TestLateStart(t *testing.T) {
	reader, pipe := io.Pipe()
	w := stdout.New(pipe)
	fill := func() {
		for n := range 10000 {
			if _, err := fmt.Fprintf(w, "line %d\n", n); err != nil {
				t.Fatal(err)
			}
		}
	}
	fill()
	ctx, cancel := context.WithCancel(t.Context())
	done := w.Start(ctx)
	// The writer has computed the number of its first report when the first byte
	// arrives.
	first := make([]byte, 1)
	if _, err := io.ReadFull(reader, first); err != nil {
		t.Fatal(err)
	}
	fill()
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
	if reported := reportedDrops(t, string(first)+string(text)); reported != w.DroppedLines() {
		t.Errorf("%d dropped lines are reported, want %d", reported, w.DroppedLines())
	}
	if strings.Contains(string(first)+string(text), fmt.Sprintf("dropped %d lines,", w.DroppedLines())) {
		t.Error("one report covers all dropped lines, so the case does not occur")
	}
}
