package http1

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"savorystep"
)

// TestResponse runs the scripts in testdata/response. The comment at the head of a
// script says which failure it guards against.
func TestResponse(t *testing.T) {
	datadriven.Walk(t, "testdata/response", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, runResponseScript)
	})
}

// runResponseScript sends request 1 to an endpoint that writes the input, quoted
// strings one per line, and closes the connection.
func runResponseScript(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	wire := unquoteLines(t, d.Input)
	switch d.Cmd {
	case "exchange":
		return exchangeScripted(t, strings.NewReader(wire)) + "\n"
	case "split":
		return splitResults(t, wire)
	case "cut":
		return cutResults(t, wire)
	case "prefixes":
		earlier, own, _ := strings.Cut(d.Input, "\n")
		return prefixResults(t, unquoteLines(t, earlier), unquoteLines(t, own))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

// unquoteLines joins quoted strings.
func unquoteLines(t *testing.T, lines string) string {
	t.Helper()
	var joined strings.Builder
	for line := range strings.Lines(lines) {
		text, err := strconv.Unquote(strings.TrimSpace(line))
		if err != nil {
			t.Fatalf("unquote %s: %v", line, err)
		}
		joined.WriteString(text)
	}
	return joined.String()
}

// splitResults returns the results of the exchanges in which the bytes arrive in
// two pieces, for each place of the split.
func splitResults(t *testing.T, wire string) string {
	t.Helper()
	results := make(map[string]bool)
	for n := range len(wire) + 1 {
		results[exchangeScripted(t, io.MultiReader(strings.NewReader(wire[:n]), strings.NewReader(wire[n:])))+"\n"] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(results)), "")
}

// cutResults returns the results of the exchanges that succeed when the connection
// ends after each prefix of the bytes.
func cutResults(t *testing.T, wire string) string {
	t.Helper()
	var text strings.Builder
	for n := range len(wire) + 1 {
		if result := exchangeScripted(t, strings.NewReader(wire[:n])); !strings.HasPrefix(result, "failed") {
			fmt.Fprintf(&text, "%d of %d bytes: %s\n", n, len(wire), result)
		}
	}
	return text.String()
}

// prefixResults returns the results of the exchanges that succeed when a part of an earlier
// response comes before the own one.
func prefixResults(t *testing.T, earlier, own string) string {
	t.Helper()
	var text strings.Builder
	for n := range len(earlier) + 1 {
		if result := exchangeScripted(t, strings.NewReader(earlier[:n]+own)); !strings.HasPrefix(result, "failed") {
			fmt.Fprintf(&text, "%d bytes: %s\n", n, result)
		}
	}
	return text.String()
}

// exchangeScripted returns the result of an exchange as text.
func exchangeScripted(t *testing.T, reader io.Reader) string {
	t.Helper()
	config := Config{HeaderNames: savorystep.HeaderNames{AttemptID: "Attempt", NotExecuted: "Not-Run"}}.withDefaults()
	request := &Request{Method: "GET", Target: "/", Host: "h", AttemptID: "1"}
	response, persistent, err := newConn(&scriptedConn{Reader: reader}).exchange(t.Context(), request, &config)
	var exchangeErr *ExchangeError
	if errors.As(err, &exchangeErr) {
		return fmt.Sprintf("failed, sent %t", exchangeErr.Stage == StageSent)
	}
	if err != nil {
		t.Fatalf("error %v, want an ExchangeError", err)
	}
	defer response.Release()
	return fmt.Sprintf("status %d, body %q, reused %t", response.Status, response.Body, persistent)
}
