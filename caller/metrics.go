package caller

import (
	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
)

// Metrics are the metrics of the callers' listener.
type Metrics struct {
	inFlight        prometheus.Gauge
	lookups         prometheus.Counter
	panics          prometheus.Counter
	refusals        *prometheus.CounterVec
	requestDuration prometheus.Histogram
	requests        prometheus.Counter
}

// NewMetrics returns metrics that are registered with registerer unless it is nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "savorystep_caller_requests_in_flight",
			Help: "Requests of callers in flight.",
		}),
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savorystep_caller_lookups_total",
			Help: "Lookups answered.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savorystep_caller_panics_total",
			Help: "Requests whose handler panicked.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "savorystep_caller_refused_total",
			Help: "Lookups and requests refused, by error kind.",
		}, []string{"kind"}),
		requestDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "savorystep_caller_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
		requests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savorystep_caller_requests_total",
			Help: "Requests answered by an upstream.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.inFlight, metrics.lookups, metrics.panics, metrics.refusals, metrics.requestDuration, metrics.requests)
	}
	return metrics
}

// countRefusal counts a refused lookup or request by its error kind.
func (m *Metrics) countRefusal(kind savorystep.Kind) {
	m.refusals.WithLabelValues(kind.String()).Inc()
}
