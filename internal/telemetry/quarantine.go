// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/quarantine"
)

// quarantineCollector exports the numbers of suspected and held requests and parts of prompts.
type quarantineCollector struct {
	read            func() []quarantine.Entry
	requests, parts *prometheus.Desc
}

// WatchQuarantine registers metrics for the numbers of suspected and held requests and parts of
// prompts. read is called at each scrape.
func (f *Forward) WatchQuarantine(read func() []quarantine.Entry) {
	f.promRegistry.MustRegister(&quarantineCollector{
		read: read,
		requests: prometheus.NewDesc(
			prometheus.BuildFQName(namespace, "quarantine", "requests"),
			"Distinct requests that are suspected of ending upstreams or held for it, by standing.", []string{"standing"}, nil,
		),
		parts: prometheus.NewDesc(
			prometheus.BuildFQName(namespace, "quarantine", "parts"),
			"Parts of prompts that are suspected of ending upstreams or held for it, by standing.", []string{"standing"}, nil,
		),
	})
}

// Describe sends the descriptors of the collector's metrics.
func (c *quarantineCollector) Describe(to chan<- *prometheus.Desc) {
	to <- c.requests
	to <- c.parts
}

// Collect sends the current values.
func (c *quarantineCollector) Collect(to chan<- prometheus.Metric) {
	requests, parts := map[quarantine.Standing]int{}, map[quarantine.Standing]int{}
	for _, e := range c.read() {
		if e.Request.IsPart() {
			parts[e.Standing]++
		} else {
			requests[e.Standing]++
		}
	}
	for standing, name := range map[quarantine.Standing]string{quarantine.Suspect: "suspect", quarantine.Held: "held"} {
		to <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, float64(requests[standing]), name)
		to <- prometheus.MustNewConstMetric(c.parts, prometheus.GaugeValue, float64(parts[standing]), name)
	}
}
