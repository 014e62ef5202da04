// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/forward"
)

// pacePlacementCollector exports the counts of runs that were placed by the pace of each engine.
type pacePlacementCollector struct {
	read  func() []forward.PacePlacements
	total *prometheus.Desc
}

// WatchPacePlacements registers the metric of the runs that were placed by pace. read is called at
// each scrape.
func (f *Forward) WatchPacePlacements(read func() []forward.PacePlacements) {
	f.promRegistry.MustRegister(&pacePlacementCollector{read: read, total: prometheus.NewDesc(
		prometheus.BuildFQName(namespace, "pace", "placements_total"),
		"Runs placed by the pace of each engine, by whether the pauses foreseen there are within the bound.", []string{"service", "pace"}, nil,
	)})
}

// Describe sends the descriptor of the collector's metric.
func (c *pacePlacementCollector) Describe(to chan<- *prometheus.Desc) { to <- c.total }

// Collect sends the current counts.
func (c *pacePlacementCollector) Collect(to chan<- prometheus.Metric) {
	for _, p := range c.read() {
		send := func(pace string, count uint64) {
			to <- prometheus.MustNewConstMetric(c.total, prometheus.CounterValue, float64(count), string(p.Service), pace)
		}
		send("within_bound", p.WithinBound)
		send("last_resort", p.LastResort)
		send("unknown", p.Unknown)
	}
}
