// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/quarantine"
)

// quarantineCollector exports the number of suspected and held requests.
type quarantineCollector struct {
	read     func() []quarantine.Entry
	requests *prometheus.Desc
}

// WatchQuarantine registers a metric for the number of suspected and held requests. read is
// called at each scrape.
func (f *Forward) WatchQuarantine(read func() []quarantine.Entry) {
	f.promRegistry.MustRegister(&quarantineCollector{read: read, requests: prometheus.NewDesc(
		prometheus.BuildFQName(namespace, "quarantine", "requests"),
		"Distinct requests that are suspected of ending upstreams or held for it, by standing.", []string{"standing"}, nil,
	)})
}

// Describe sends the descriptor of the collector's metric.
func (c *quarantineCollector) Describe(to chan<- *prometheus.Desc) { to <- c.requests }

// Collect sends the current values.
func (c *quarantineCollector) Collect(to chan<- prometheus.Metric) {
	count := map[quarantine.Standing]int{}
	for _, e := range c.read() {
		count[e.Standing]++
	}
	for standing, name := range map[quarantine.Standing]string{quarantine.Suspect: "suspect", quarantine.Held: "held"} {
		to <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, float64(count[standing]), name)
	}
}
