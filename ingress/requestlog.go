package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// failureLinesPerSecond and answerLines are the lines per second for requests that
	// failed or needed more than one attempt, and for others. A line costs
	// about 20 µs, so that a thousand failures a second cost 0.1% of a core.
	failureLinesPerSecond = 50
	successLinesPerSecond = 2
	// burstSeconds is how many seconds of lines may come at once.
	burstSeconds = 4
	// omittedReportInterval is the time between lines that count what was left out.
	omittedReportInterval = 5 * time.Second
)

// A requestLog writes a line for each request, failures first. The rate of the
// lines is bounded, and those left out are counted.
type requestLog struct {
	failureLimiter, successLimiter *rate.Limiter

	mu sync.Mutex
	// leftOut counts the lines left out since told.
	omittedFailures, omittedSuccesses int
	omittedReportedAt                 time.Time
}

func newRequestLog() *requestLog {
	return &requestLog{
		failureLimiter: rate.NewLimiter(failureLinesPerSecond, failureLinesPerSecond*burstSeconds),
		successLimiter: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond*burstSeconds),
	}
}

// write writes the line of a request, or counts it as left out.
func (l *requestLog) write(now time.Time, e logEntry) {
	failed := e.status == 0 || e.status >= http.StatusInternalServerError
	limiter, leftOut := l.successLimiter, &l.omittedSuccesses
	if failed || (e.proxied != nil && len(e.proxied.steps) > 1) {
		limiter, leftOut = l.failureLimiter, &l.omittedFailures
	}
	allowed := limiter.AllowN(now, 1)
	if allowed {
		log.Infof("%s", e)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !allowed {
		*leftOut++
	}
	if l.omittedReportedAt.IsZero() {
		l.omittedReportedAt = now
	}
	if count := l.omittedFailures + l.omittedSuccesses; count > 0 && now.Sub(l.omittedReportedAt) >= omittedReportInterval {
		log.Infof("request lines left out: failures=%d answers=%d", l.omittedFailures, l.omittedSuccesses)
		l.omittedFailures, l.omittedSuccesses, l.omittedReportedAt = 0, 0, now
	}
}

// An logEntry is what the log says of a request.
type logEntry struct {
	id      string
	request *http.Request
	// proxied is nil if the request was refused before it had one.
	proxied  *proxiedRequest
	status   int
	outcome  string
	duration time.Duration
}

// String returns the entry as fields.
func (e logEntry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request id=%s host=%s target=%s status=%d outcome=%q took=%v", e.id, e.request.Host, e.request.RequestURI, e.status, e.outcome, e.duration.Round(time.Millisecond))
	if t := e.proxied; t != nil {
		fmt.Fprintf(&b, " route=%s repetition=%s service=%s revision=%d timeleft=%v steps=%q", t.route.Name, t.route.Class, t.service, t.revision, t.timeBudget.Round(time.Millisecond), t.steps)
	}
	return b.String()
}
