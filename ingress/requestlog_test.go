package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"savorystep/http1"
)

// captureLog captures the log. The function that it returns ends that and returns the lines.
func captureLog(t *testing.T) func() string {
	t.Helper()
	var lines bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&lines)
	t.Cleanup(func() { klog.LogToStderr(true) })
	return func() string {
		klog.Flush()
		// What other tests left running must not write to the buffer any more.
		klog.SetOutput(io.Discard)
		return lines.String()
	}
}

// TestUndeliveredLineDuringOverload guards against an overload whose failures keep the
// line of an answer that was lost out of the request log.
func TestUndeliveredLineDuringOverload(t *testing.T) {
	lines := captureLog(t)
	requestLog := newRequestLog()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://records/", nil)
	now := time.Unix(0, 0)
	for range 10_000 {
		requestLog.write(now, logEntry{id: "failed", request: request, requestOutcome: requestOutcome{status: http.StatusServiceUnavailable}})
	}
	requestLog.write(now, logEntry{id: "closed", request: request, requestOutcome: requestOutcome{status: http.StatusOK}, closing: &http1.Closing{Cause: http1.CloseIdle}})
	requestLog.write(now, logEntry{id: "undelivered", request: request, requestOutcome: requestOutcome{status: http.StatusOK, writeErr: errors.New("use of closed network connection")}})
	requestLog.write(now.Add(omittedReportInterval), logEntry{id: "later", request: request, requestOutcome: requestOutcome{status: http.StatusOK}})
	got := lines()
	for _, want := range []string{
		"request id=closed host=records target=http://records/ status=200 outcome=\"\" took=0s closed=idle closedfor=0s",
		"request id=undelivered host=records target=http://records/ status=200 outcome=\"\" took=0s undelivered=\"use of closed network connection\"",
		"request lines left out: failures=9800 answers=0",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no line with %q", want)
		}
	}
	if count := strings.Count(got, "request id=failed"); count != failureLinesPerSecond*burstSeconds {
		t.Errorf("%d lines for failures, want %d", count, failureLinesPerSecond*burstSeconds)
	}
}

// TestUndeliveredLinesAreLimited guards against a burst of callers that leave, whose lines
// take the processor time of the requests.
func TestUndeliveredLinesAreLimited(t *testing.T) {
	lines := captureLog(t)
	requestLog := newRequestLog()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://records/", nil)
	now := time.Unix(0, 0)
	for range 1000 {
		requestLog.write(now, logEntry{id: "undelivered", request: request, requestOutcome: requestOutcome{status: http.StatusOK, writeErr: errors.New("broken pipe")}})
	}
	requestLog.write(now.Add(omittedReportInterval), logEntry{id: "later", request: request, requestOutcome: requestOutcome{status: http.StatusOK}})
	got := lines()
	if count := strings.Count(got, "request id=undelivered"); count > 200 {
		t.Errorf("%d lines, want at most 200", count)
	}
	if !strings.Contains(got, "request lines left out: failures=0 answers=0 undelivered=") {
		t.Error("the lines left out are not reported")
	}
}
