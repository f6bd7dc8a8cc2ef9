package ingress

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep/endpoint"
)

// metrics holds the Prometheus metrics of a Proxy.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	choices  *prometheus.CounterVec
	// limitedAttempts counts the attempts at endpoints that state a rate limit.
	limitedAttempts prometheus.Counter
}

// latencyBuckets are the upper bounds of the latency histogram in seconds. The
// latency targets of routes are between 0.25 and 0.8 s, and their timeouts
// between 0.8 and 6 s.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.175, 0.25, 0.35, 0.5, 0.6, 0.8, 1.2, 1.5, 2, 3, 5, 10}

// newMetrics returns metrics and registers them if registerer is not nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "savorystep_ingress_requests_total", Help: "Requests of callers by repetition and status; status 0 means that the caller left.",
		}, []string{"repetition", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "savorystep_ingress_request_seconds", Help: "Time from a request's header to its answer.", Buckets: latencyBuckets,
		}, []string{"repetition"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "savorystep_ingress_attempts_total", Help: "Attempts at endpoints by outcome.",
		}, []string{"outcome"}),
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "savorystep_ingress_choices_total", Help: "Choices of endpoints by reason; none means that no endpoint had room.",
		}, []string{"reason"}),
		limitedAttempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savorystep_ingress_limited_attempts_total", Help: "Attempts at endpoints that state a rate limit.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, m.attempts, m.choices, m.limitedAttempts)
	}
	return m
}

// observeRequest records a completed request. pr is nil if Proxy.accept
// rejected the request.
func (m *metrics) observeRequest(pr *proxiedRequest, status int, duration time.Duration) {
	repetition := "none"
	if pr != nil {
		repetition = pr.route.Class.String()
	}
	m.requests.WithLabelValues(repetition, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(repetition).Observe(duration.Seconds())
}

// countAttempt counts a completed attempt. isLimited is true if its endpoint states a
// rate limit.
func (m *metrics) countAttempt(outcome endpoint.Outcome, isLimited bool) {
	m.attempts.WithLabelValues(outcome.String()).Inc()
	if isLimited {
		m.limitedAttempts.Inc()
	}
}

// countChoice counts a selection of an endpoint. The reason is empty if no
// endpoint was selected.
func (m *metrics) countChoice(reason endpoint.Reason) {
	if reason == "" {
		reason = "none"
	}
	m.choices.WithLabelValues(string(reason)).Inc()
}
