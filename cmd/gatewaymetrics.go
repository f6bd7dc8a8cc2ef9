package cmd

import (
	"github.com/prometheus/client_golang/prometheus"

	"savorystep/endpoint"
)

// registerMetrics registers the metrics that are read from the components at each
// scrape.
func (g *gateway) registerMetrics() {
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{name: "savorystep_gateway_closed_endpoints", help: "Endpoints that want no requests from this instance for a stated time.", value: func() float64 { return float64(g.router.CountClosed(g.clock.Now())) }},
		{name: "savorystep_gateway_leaving_endpoints", help: "Listed endpoints that have said in a response that they leave.", value: func() float64 { return float64(g.router.CountLeaving()) }},
		{name: "savorystep_gateway_limited_endpoints", help: "Endpoints that state a rate limit.", value: func() float64 { return float64(g.router.CountRateLimited(g.clock.Now())) }},
		{name: "savorystep_gateway_members", help: "Instances known, this one included.", value: func() float64 {
			return float64(len(g.exchange.Members(g.clock.Now())))
		}},
		{name: "savorystep_gateway_quarantined_requests", help: "Requests that are not forwarded because they crashed endpoints.", value: func() float64 { return float64(len(g.quarantine.Quarantined(g.clock.Now()))) }},
		{name: "savorystep_gateway_ready", help: "1 if callers may be sent here, else 0.", value: func() float64 { return boolGauge(g.isReady()) }},
		{name: "savorystep_gateway_requests", help: "Requests in flight.", value: func() float64 { return float64(g.proxy.InFlight()) }},
		{name: "savorystep_gateway_revision", help: "Revision of the routing in force.", value: func() float64 {
			if routing := g.router.Routing(); routing != nil {
				return float64(routing.Revision)
			}
			return 0
		}},
		{name: "savorystep_gateway_store_era", help: "Era of the store. It rises when the store comes back from a copy.", value: func() float64 { return float64(g.client.Era()) }},
	}
	for _, gauge := range gauges {
		g.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
	g.registry.MustRegister(newExclusionCollector(func() []endpoint.ExcludedEndpoint { return g.router.Excluded(g.clock.Now()) }))
	counters := []struct {
		name, help string
		value      func() float64
	}{
		{name: "savorystep_gateway_connections_total", help: "Connections opened to endpoints.", value: func() float64 { return float64(g.pool.OpenedConnections()) }},
		{name: "savorystep_gateway_store_calls_total", help: "Calls to the platform's store.", value: func() float64 { return float64(g.client.CallCount()) }},
		{name: "savorystep_gateway_endpoint_restarts_total", help: "Restarts of endpoints under their id that the endpoint list told.", value: func() float64 { return float64(g.router.RestartTotals().Restarts) }},
		{name: "savorystep_gateway_suspected_restarts_total", help: "Those of the restarts that were suspected before they were listed.", value: func() float64 { return float64(g.router.RestartTotals().Suspected) }},
		{name: "savorystep_gateway_warm_requests_before_restart_total", help: "Requests of this instance to endpoints that counted as warm, in the 1.3 s before their restart was listed.", value: func() float64 { return float64(g.router.RestartTotals().SentWarm) }},
		{name: "savorystep_gateway_lines_left_out_total", help: "Log lines dropped because standard output was read too slowly.", value: func() float64 { return float64(g.logWriter.DroppedLines()) }},
	}
	for _, counter := range counters {
		g.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: counter.name, Help: counter.help}, counter.value))
	}
}
