// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/ratelimit"
)

// maxLimitSeries bounds the number of upstreams that get a time series of their own.
const maxLimitSeries = 64

// limitCollector exports the rate limits that upstreams name and the bounds in force.
type limitCollector struct {
	read         func() []ratelimit.LimitStatus
	named, bound *prometheus.Desc
	upstreams    *prometheus.Desc
}

// WatchLimits registers metrics for the rate limits of upstreams. read is called at each
// scrape.
func (f *Forward) WatchLimits(read func() []ratelimit.LimitStatus) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "limit", name), help, labels, nil)
	}
	f.promRegistry.MustRegister(&limitCollector{
		read:      read,
		named:     desc("named", "Rate limit that an upstream states for all hosts together, in requests per second.", "upstream"),
		bound:     desc("bound", "Rate at which all hosts together may currently send to an upstream, in requests per second.", "upstream"),
		upstreams: desc("upstreams", "Upstreams that are currently rate limited."),
	})
}

// Describe sends the descriptors of the collector's metrics.
func (c *limitCollector) Describe(to chan<- *prometheus.Desc) {
	to <- c.named
	to <- c.bound
	to <- c.upstreams
}

// Collect sends the current values.
func (c *limitCollector) Collect(to chan<- prometheus.Metric) {
	entries := c.read()
	to <- prometheus.MustNewConstMetric(c.upstreams, prometheus.GaugeValue, float64(len(entries)))
	for _, e := range entries[:min(len(entries), maxLimitSeries)] {
		if e.NamedRate > 0 {
			to <- prometheus.MustNewConstMetric(c.named, prometheus.GaugeValue, float64(e.NamedRate), string(e.Upstream))
		}
		to <- prometheus.MustNewConstMetric(c.bound, prometheus.GaugeValue, float64(e.EffectiveRate), string(e.Upstream))
	}
}
