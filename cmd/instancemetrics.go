package cmd

import (
	"github.com/prometheus/client_golang/prometheus"
)

// registerMetrics registers the metrics that are read from the components at each
// scrape.
func (i *instance) registerMetrics(registry prometheus.Registerer) {
	counters := []struct {
		name, help string
		value      func() float64
	}{
		{
			name:  "savorystep_peer_received_bytes_total",
			help:  "Bytes received from other instances, WebSocket headers included.",
			value: func() float64 { return float64(i.exchange.Stats().ReceivedBytes) },
		},
		{
			name:  "savorystep_peer_refused_total",
			help:  "Rejected frames of peers, hello frames included, that ended a connection.",
			value: func() float64 { return float64(i.exchange.Stats().RejectedFrames) },
		},
		{
			name:  "savorystep_peer_sent_bytes_total",
			help:  "Bytes sent to other instances, WebSocket headers included.",
			value: func() float64 { return float64(i.exchange.Stats().SentBytes) },
		},
		{
			name:  "savorystep_upstream_panics_total",
			help:  "Requests and tasks in the background that panicked while a request was forwarded.",
			value: func() float64 { return float64(i.pool.Panics() + i.forwarder.Panics()) },
		},
	}
	for _, c := range counters {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help}, c.value))
	}
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{
			name:  "savorystep_config_revision",
			help:  "Revision of the configuration in force.",
			value: func() float64 { return float64(i.configLog.View().Revision) },
		},
		{
			name:  "savorystep_instance_ready",
			help:  "1 if the instance answers callers, else 0.",
			value: func() float64 { return boolGauge(readinessError(i.configLog, i.endpointLists) == nil) },
		},
		{
			name:  "savorystep_peer_links",
			help:  "Connections to other instances.",
			value: func() float64 { return float64(i.exchange.Stats().Links) },
		},
		{
			name:  "savorystep_peer_members",
			help:  "Members known, this instance included.",
			value: func() float64 { return float64(len(i.exchange.Members(i.config.Clock.Now()))) },
		},
		{
			name:  "savorystep_upstream_suspect",
			help:  "1 if the instance suspects its own link to upstreams, else 0.",
			value: func() float64 { return boolGauge(i.pool.SuspectsOwnNetwork()) },
		},
	}
	for _, g := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, g.value))
	}
}

// boolGauge returns the value of a gauge for a condition: 1 if it holds, else 0.
func boolGauge(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
