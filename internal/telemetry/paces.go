// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/forward"
)

// paceCollector exports a forwarder's estimates of the pace of each engine.
type paceCollector struct {
	read func() []forward.PaceStatus

	active, ignored, step, slowStep, samples, age *prometheus.Desc
}

// WatchPaces registers metrics for the pace of each engine. read is called at each scrape.
func (f *Forward) WatchPaces(read func() []forward.PaceStatus) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "pace", name), help, append([]string{"service"}, labels...), nil)
	}
	f.promRegistry.MustRegister(&paceCollector{
		read:     read,
		active:   desc("active", "1 while runs are placed by the pace of each engine, otherwise 0."),
		ignored:  desc("ignored_marks_total", "Peers' reports about the pace of engines that had invalid values."),
		step:     desc("step_seconds", "Estimated usual duration of the engine's decode step.", "engine"),
		slowStep: desc("slow_step_seconds", "Estimated duration that one decode step in ten of the engine exceeds.", "engine"),
		samples:  desc("samples", "Number of pauses between events from which the pace was estimated.", "engine"),
		age:      desc("age_seconds", "Age of the newest of these pauses.", "engine"),
	})
}

// Describe sends the descriptors of the collector's metrics.
func (c *paceCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.active, c.ignored, c.step, c.slowStep, c.samples, c.age} {
		to <- d
	}
}

// Collect sends the current values.
func (c *paceCollector) Collect(to chan<- prometheus.Metric) {
	for _, s := range c.read() {
		active := 0.0
		if s.Active {
			active = 1
		}
		to <- prometheus.MustNewConstMetric(c.active, prometheus.GaugeValue, active, string(s.Service))
		to <- prometheus.MustNewConstMetric(c.ignored, prometheus.CounterValue, float64(s.IgnoredMarks), string(s.Service))
		for _, e := range s.Engines {
			send := func(d *prometheus.Desc, value float64) {
				to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, string(s.Service), string(e.Engine))
			}
			send(c.step, e.Step.Seconds())
			send(c.slowStep, e.SlowStep.Seconds())
			send(c.samples, float64(e.Samples))
			send(c.age, e.Age.Seconds())
		}
	}
}
