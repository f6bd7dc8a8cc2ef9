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
	if w.DroppedLines() == 0 {
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
	if told := toldLeftOut(t, string(text)); told != w.DroppedLines() || !strings.Contains(string(text), "line 0\n") {
		t.Errorf("%d bytes tell that %d lines were left out, want %d", len(text), told, w.DroppedLines())
	}
}

// leftOutLine is a line that tells how many lines were left out since the last
// such line.
var leftOutLine = regexp.MustCompile(`(?m)^stdout: (\d+) lines were left out for a slow reader$`)

// toldLeftOut returns how many lines a text says were left out. The writer may
// have started when some were left out already, and tells the others later.
func toldLeftOut(t *testing.T, text string) uint64 {
	t.Helper()
	var sum uint64
	for _, match := range leftOutLine.FindAllStringSubmatch(text, -1) {
		count, err := strconv.ParseUint(match[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += count
	}
	return sum
}

// TestLateWriter guards against counts that are lost when the writer starts after
// lines were left out and more are left out later.
func TestLateWriter(t *testing.T) {
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
	// The first byte shows that the writer has told the first count.
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
	if told := toldLeftOut(t, string(first)+string(text)); told != w.DroppedLines() {
		t.Errorf("%d lines are told as left out, want %d", told, w.DroppedLines())
	}
	if strings.Contains(string(first)+string(text), fmt.Sprintf(" %d lines were left out", w.DroppedLines())) {
		t.Error("one line tells all that were left out, so the case does not occur")
	}
}
