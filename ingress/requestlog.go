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
	// thousand failures per second.
	failureLinesPerSecond = 50
	successLinesPerSecond = 2
	// burstSeconds is the burst of both limits, in seconds of their rate.
	burstSeconds = 4
	// omittedReportInterval is the minimum interval between lines that report the
	// number of omitted lines.
	omittedReportInterval = 5 * time.Second
)

// A requestLog logs a line per request. It limits the rate of the lines, with a
// higher limit for failures, and reports how many lines were omitted.
type requestLog struct {
	failureLimiter, successLimiter *rate.Limiter

	mu sync.Mutex
	// omittedFailures and omittedSuccesses count the lines omitted since
	// omittedReportedAt.
	omittedFailures, omittedSuccesses int
	omittedReportedAt                 time.Time
}

func newRequestLog() *requestLog {
	return &requestLog{
		failureLimiter: rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond*burstSeconds),
		successLimiter: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond*burstSeconds),
	}
}

// write logs a request, or counts its line as omitted.
func (l *requestLog) write(now time.Time, e logEntry) {
	failed := e.status == 0 || e.status >= http.StatusInternalServerError || e.writeErr != nil || e.closing != nil
	limiter, omitted := l.successLimiter, &l.omittedSuccesses
	if failed || (e.proxied != nil && len(e.proxied.steps) > 1) {
		limiter, omitted = l.failureLimiter, &l.omittedFailures
	}
	allowed := limiter.AllowN(now, 1)
	if allowed {
		log.Infof("%s", e)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !allowed {
		*omitted++
	}
	if l.omittedReportedAt.IsZero() {
		l.omittedReportedAt = now
	}
	if count := l.omittedFailures + l.omittedSuccesses; count > 0 && now.Sub(l.omittedReportedAt) >= omittedReportInterval {
		log.Infof("request lines left out: failures=%d answers=%d", l.omittedFailures, l.omittedSuccesses)
		l.omittedFailures, l.omittedSuccesses, l.omittedReportedAt = 0, 0, now
	}
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
