// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/ratelimit"
)

// maxLimitSeries bounds the upstreams whose limits are told by name.
const maxLimitSeries = 64

// limitCollector serves which upstreams name a limit.
type limitCollector struct {
	read         func() []ratelimit.Entry
	named, bound *prometheus.Desc
	upstreams    *prometheus.Desc
}

// WatchLimits has the metrics tell the limits that upstreams name, read when they are asked
// for.
func (f *Forward) WatchLimits(read func() []ratelimit.Entry) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "limit", name), help, labels, nil)
	}
	f.promRegistry.MustRegister(&limitCollector{
		read:      read,
		named:     desc("named", "Requests a second that an upstream takes from all hosts together, by its own word.", "upstream"),
		bound:     desc("bound", "Requests a second that an upstream is given by all hosts together at present.", "upstream"),
		upstreams: desc("upstreams", "Upstreams that are bounded at present."),
	})
}

// Describe sends the collector's metrics.
func (c *limitCollector) Describe(to chan<- *prometheus.Desc) {
	to <- c.named
	to <- c.bound
	to <- c.upstreams
}

// Collect sends the values as they are now.
func (c *limitCollector) Collect(to chan<- prometheus.Metric) {
	entries := c.read()
	to <- prometheus.MustNewConstMetric(c.upstreams, prometheus.GaugeValue, float64(len(entries)))
	for _, e := range entries[:min(len(entries), maxLimitSeries)] {
		if e.Named > 0 {
			to <- prometheus.MustNewConstMetric(c.named, prometheus.GaugeValue, float64(e.Named), string(e.Upstream))
		}
		to <- prometheus.MustNewConstMetric(c.bound, prometheus.GaugeValue, float64(e.Bound), string(e.Upstream))
	}
}
