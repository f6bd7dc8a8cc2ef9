package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"savorystep/http1"
)

const (
	// failureLinesPerSecond limits the lines for requests that failed or have more
	// than one step, and successLinesPerSecond those for other requests. A line
	// costs about 20 µs, so the limit keeps the cost at 0.1% of a core during a
	// thousand failures per second. undeliveredLinesPerSecond limits the lines for
	// requests whose answer did not reach the caller, which an overload must not hide.
	failureLinesPerSecond     = 50
	successLinesPerSecond     = 2
	undeliveredLinesPerSecond = 10
	// burstSeconds is the burst of the limits, in seconds of their rate.
	burstSeconds = 4
	// omittedReportInterval is the minimum interval between lines that report the
	// number of omitted lines.
	omittedReportInterval = 5 * time.Second
)

// A lineLimit limits the rate of the lines for one kind of requests.
type lineLimit struct {
	*rate.Limiter
	// omitted counts the lines omitted since the last report.
	omitted int
}

// newLineLimit returns a limit of a number of lines per second.
func newLineLimit(linesPerSecond int) *lineLimit {
	return &lineLimit{Limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond*burstSeconds)}
}

// A requestLog logs a line per request. It limits the rate of the lines for each kind of
// requests, and reports how many lines were omitted.
type requestLog struct {
	mu                               sync.Mutex
	successes, failures, undelivered *lineLimit
	omittedReportedAt                time.Time
}

func newRequestLog() *requestLog {
	return &requestLog{
		successes:   newLineLimit(successLinesPerSecond),
		failures:    newLineLimit(failureLinesPerSecond),
		undelivered: newLineLimit(undeliveredLinesPerSecond),
	}
}

// limitOf returns the limit for the line of a request.
func (l *requestLog) limitOf(e logEntry) *lineLimit {
	switch {
	case e.closing != nil || e.writeErr != nil:
		return l.undelivered
	case e.status == 0 || e.status >= http.StatusInternalServerError:
		return l.failures
	case e.proxied != nil && len(e.proxied.steps) > 1:
		return l.failures
	}
	return l.successes
}

// write logs a request, or counts its line as omitted.
func (l *requestLog) write(now time.Time, e logEntry) {
	if l.allows(now, e) {
		log.Infof("%s", e)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportOmitted(now)
}

// allows reports whether the line of a request is within its limit, and counts it as
// omitted if not.
func (l *requestLog) allows(now time.Time, e logEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limitOf(e)
	if limit.AllowN(now, 1) {
		return true
	}
	limit.omitted++
	return false
}

// reportOmitted logs how many lines were omitted since the last report, if it is due. The
// caller holds mu.
func (l *requestLog) reportOmitted(now time.Time) {
	if l.omittedReportedAt.IsZero() {
		l.omittedReportedAt = now
	}
	if l.successes.omitted+l.failures.omitted+l.undelivered.omitted == 0 || now.Sub(l.omittedReportedAt) < omittedReportInterval {
		return
	}
	log.Infof("request lines left out: failures=%d answers=%d undelivered=%d", l.failures.omitted, l.successes.omitted, l.undelivered.omitted)
	l.successes.omitted, l.failures.omitted, l.undelivered.omitted = 0, 0, 0
	l.omittedReportedAt = now
}

// A logEntry is the log line of a request.
type logEntry struct {
	requestOutcome
	id       string
	request  *http.Request
	duration time.Duration
	// closing is when and why this instance closed the connection of the request, nil if
	// it did not. closedFor is the time since then.
	closing   *http1.Closing
	closedFor time.Duration
}

// String returns the line as key=value fields. The trace command and operators
// rely on its format.
func (e logEntry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request id=%s host=%s target=%s status=%d outcome=%q took=%v", e.id, e.request.Host, e.request.RequestURI, e.status, e.text, e.duration.Round(time.Millisecond))
	if e.closing != nil {
		fmt.Fprintf(&b, " closed=%s closedfor=%v", e.closing.Cause, e.closedFor.Round(time.Microsecond))
	}
	if e.writeErr != nil {
		fmt.Fprintf(&b, " undelivered=%q", e.writeErr)
	}
	if pr := e.proxied; pr != nil {
		fmt.Fprintf(&b, " route=%s repetition=%s service=%s revision=%d timeleft=%v steps=%q", pr.route.Name, pr.route.Class, pr.service, pr.routing.Revision, pr.timeBudget.Round(time.Millisecond), pr.steps)
	}
	return b.String()
}
