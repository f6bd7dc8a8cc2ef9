package caller

import (
	"github.com/prometheus/client_golang/prometheus"

	"savorystep"
)

// Metrics are the metrics of the callers' listener.
type Metrics struct {
	inFlight prometheus.Gauge
	lookups  prometheus.Counter
	refused  *prometheus.CounterVec
	seconds  prometheus.Histogram
	served   prometheus.Counter
}

// NewMetrics returns metrics registered with the given registerer, if any.
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
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "savorystep_caller_refused_total",
			Help: "Lookups and requests refused, by error kind.",
		}, []string{"kind"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "savorystep_caller_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
		served: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "savorystep_caller_requests_total",
			Help: "Requests answered by an upstream.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.inFlight, metrics.lookups, metrics.refused, metrics.seconds, metrics.served)
	}
	return metrics
}

// countRefusal counts a refusal.
func (m *Metrics) countRefusal(kind savorystep.Kind) {
	m.refused.WithLabelValues(kind.String()).Inc()
}
