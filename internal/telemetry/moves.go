// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/forward"
)

// moveCollector exports what a forwarder does for runs on departing engines.
type moveCollector struct {
	read func() []forward.MoveStatus

	runs, places, held, notice, departures, paceMoved, paceFailed *prometheus.Desc
}

// WatchMoves registers metrics for the runs that have to move. read is called at each scrape.
func (f *Forward) WatchMoves(read func() []forward.MoveStatus) {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "moves", name), help, []string{"service"}, nil)
	}
	f.promRegistry.MustRegister(&moveCollector{
		read:       read,
		runs:       desc("departing_runs", "Runs on departing engines that are expected to have to move, as far as this host knows."),
		places:     desc("places", "How many of the departing runs fit on the other engines of their zones."),
		held:       desc("held_total", "Attempts at placing a request that found room only where departing runs need it."),
		notice:     desc("notice_seconds", "How long a departing engine is expected to serve on after the first sign that it departs."),
		departures: desc("notice_departures", "Number of departures from which the expected notice was learned; the drain time is used if they are too few."),
		paceMoved:  desc("pace_moved_total", "Runs that this host moved to a faster engine."),
		paceFailed: desc("pace_failed_total", "Moves to a faster engine that this host tried and gave up."),
	})
}

// Describe sends the descriptors of the collector's metrics.
func (c *moveCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.runs, c.places, c.held, c.notice, c.departures, c.paceMoved, c.paceFailed} {
		to <- d
	}
}

// Collect sends the current values.
func (c *moveCollector) Collect(to chan<- prometheus.Metric) {
	for _, m := range c.read() {
		send := func(d *prometheus.Desc, kind prometheus.ValueType, value float64) {
			to <- prometheus.MustNewConstMetric(d, kind, value, string(m.Service))
		}
		send(c.runs, prometheus.GaugeValue, m.Runs)
		send(c.places, prometheus.GaugeValue, m.Places)
		send(c.held, prometheus.CounterValue, float64(m.Held))
		send(c.notice, prometheus.GaugeValue, m.Notice.Seconds())
		send(c.departures, prometheus.GaugeValue, float64(m.Departures))
		send(c.paceMoved, prometheus.CounterValue, float64(m.PaceMoved))
		send(c.paceFailed, prometheus.CounterValue, float64(m.PaceFailed))
	}
}
