// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/quarantine"
)

// quarantineCollector serves how many requests upstreams have ended under.
type quarantineCollector struct {
	read     func() []quarantine.Entry
	requests *prometheus.Desc
}

// WatchQuarantine has the metrics tell how many requests are suspected and held, read when
// they are asked for.
func (f *Forward) WatchQuarantine(read func() []quarantine.Entry) {
	f.promRegistry.MustRegister(&quarantineCollector{read: read, requests: prometheus.NewDesc(
		prometheus.BuildFQName(namespace, "quarantine", "requests"),
		"Different requests under which upstreams ended, by what is thought of them.", []string{"standing"}, nil,
	)})
}

// Describe sends the collector's metric.
func (c *quarantineCollector) Describe(to chan<- *prometheus.Desc) { to <- c.requests }

// Collect sends the values as they are now.
func (c *quarantineCollector) Collect(to chan<- prometheus.Metric) {
	count := map[quarantine.Standing]int{}
	for _, e := range c.read() {
		count[e.Standing]++
	}
	for standing, name := range map[quarantine.Standing]string{quarantine.Suspect: "suspect", quarantine.Held: "held"} {
		to <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, float64(count[standing]), name)
	}
}
