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
	// failureLines and answerLines are the lines per second for requests that
	// failed or needed more than one attempt, and for others. A line costs
	// about 20 µs, so that a thousand failures a second cost 0.1% of a core.
	failureLines = 50
	answerLines  = 2
	// lineBurst is how many seconds of lines may come at once.
	lineBurst = 4
	// leftOutInterval is the time between lines that count what was left out.
	leftOutInterval = 5 * time.Second
)

// A requestLog writes a line for each request, failures first. The rate of the
// lines is bounded, and those left out are counted.
type requestLog struct {
	failures, answers *rate.Limiter

	mu sync.Mutex
	// leftOut counts the lines left out since told.
	leftOutFailures, leftOutAnswers int
	told                            time.Time
}

func newRequestLog() *requestLog {
	return &requestLog{
		failures: rate.NewLimiter(failureLines, failureLines*lineBurst),
		answers:  rate.NewLimiter(answerLines, answerLines*lineBurst),
	}
}

// note writes the line of a request, or counts it as left out.
func (l *requestLog) note(now time.Time, e entry) {
	failed := e.status == 0 || e.status >= http.StatusInternalServerError
	limiter, leftOut := l.answers, &l.leftOutAnswers
	if failed || (e.task != nil && len(e.task.trail) > 1) {
		limiter, leftOut = l.failures, &l.leftOutFailures
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
	if l.told.IsZero() {
		l.told = now
	}
	if count := l.leftOutFailures + l.leftOutAnswers; count > 0 && now.Sub(l.told) >= leftOutInterval {
		log.Infof("request lines left out: failures=%d answers=%d", l.leftOutFailures, l.leftOutAnswers)
		l.leftOutFailures, l.leftOutAnswers, l.told = 0, 0, now
	}
}

// An entry is what the log says of a request.
type entry struct {
	id      string
	request *http.Request
	// task is nil if the request was refused before it had one.
	task    *task
	status  int
	outcome string
	took    time.Duration
}

// String returns the entry as fields.
func (e entry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request id=%s host=%s target=%s status=%d outcome=%q took=%v", e.id, e.request.Host, e.request.RequestURI, e.status, e.outcome, e.took.Round(time.Millisecond))
	if t := e.task; t != nil {
		fmt.Fprintf(&b, " route=%s repetition=%s service=%s revision=%d timeleft=%v steps=%q", t.route.Name, t.route.Class, t.service, t.revision, t.left.Round(time.Millisecond), t.trail)
	}
	return b.String()
}
