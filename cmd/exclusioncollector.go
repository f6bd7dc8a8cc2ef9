package cmd

import (
	"github.com/prometheus/client_golang/prometheus"

	"savorystep/endpoint"
)

var _ prometheus.Collector = &exclusionCollector{}

// An exclusionCollector collects the numbers of endpoints that get no requests, by
// reason.
type exclusionCollector struct {
	desc *prometheus.Desc
	// excluded returns the endpoints that get no requests now.
	excluded func() []endpoint.ExcludedEndpoint
}

func newExclusionCollector(excluded func() []endpoint.ExcludedEndpoint) *exclusionCollector {
	return &exclusionCollector{
		desc:     prometheus.NewDesc("savorystep_gateway_excluded_endpoints", "Endpoints that get no requests from this instance now, by reason.", []string{"reason"}, nil),
		excluded: excluded,
	}
}

// Describe implements prometheus.Collector.
func (c *exclusionCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.desc
}

// Collect implements prometheus.Collector. Reasons without endpoints are collected, too.
func (c *exclusionCollector) Collect(metrics chan<- prometheus.Metric) {
	counts := make(map[endpoint.Exclusion]int)
	for _, e := range c.excluded() {
		counts[e.Exclusion]++
	}
	for _, reason := range endpoint.Exclusions() {
		if !reason.IsOfRequest() {
			metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(counts[reason]), reason.String())
		}
	}
}
