package ingress

import (
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
	"savorystep/endpoint"
	"savorystep/http1"
)

// metrics holds the Prometheus metrics of a Proxy.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	choices  *prometheus.CounterVec
	// regionChoices counts the choices by service and region, so that traffic that moves
	// between regions is seen.
	regionChoices *prometheus.CounterVec
	// limitedAttempts counts the attempts at endpoints that state a rate limit.
	limitedAttempts prometheus.Counter
	// closedConns counts the connections of callers that this instance closed, and
	// requestsOnClosedConns the requests that it handled on such connections.
	closedConns, requestsOnClosedConns *prometheus.CounterVec
	// undelivered counts the responses that could not be written, by who closed the
	// connection.
	undelivered *prometheus.CounterVec
	panics      prometheus.Counter
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
	m.regionChoices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorystep_ingress_region_choices_total", Help: "Choices of endpoints by service and region of the endpoint; body is large for requests that prefer endpoints nearby.",
	}, []string{"service", "region", "body"})
	m.closedConns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorystep_ingress_connections_closed_total", Help: "Connections of callers that this instance closed, by cause.",
	}, []string{"cause"})
	m.requestsOnClosedConns = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorystep_ingress_requests_on_closed_connections_total", Help: "Requests handled on connections that this instance had closed, by cause.",
	}, []string{"cause"})
	m.undelivered = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "savorystep_ingress_undelivered_responses_total", Help: "Responses that could not be written, by who closed the connection.",
	}, []string{"closed"})
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "savorystep_ingress_panics_total", Help: "Requests whose handler panicked.",
	})
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, m.attempts, m.choices, m.regionChoices, m.limitedAttempts, m.closedConns, m.requestsOnClosedConns, m.undelivered, m.panics)
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

// countRegionChoice counts the region of a chosen endpoint.
func (m *metrics) countRegionChoice(query *endpoint.Query, chosen savorystep.Endpoint) {
	body := "small"
	if query.PreferLocal {
		body = "large"
	}
	m.regionChoices.WithLabelValues(string(query.Service), string(chosen.Place.Region), body).Inc()
}

// countClosedConn counts a caller's connection that this instance closed.
func (m *metrics) countClosedConn(cause http1.CloseCause) {
	m.closedConns.WithLabelValues(string(cause)).Inc()
}

// countUndelivered counts a response that could not be written. The error tells a
// connection that this instance closed from one that the caller closed or does not read.
func (m *metrics) countUndelivered(err error) {
	closedBy := "caller"
	switch {
	case errors.Is(err, net.ErrClosed):
		closedBy = "instance"
	case errors.Is(err, os.ErrDeadlineExceeded):
		closedBy = "timeout"
	}
	m.undelivered.WithLabelValues(closedBy).Inc()
}
