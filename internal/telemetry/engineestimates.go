// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/forward"
)

// engineEstimateCollector serves what a forwarder has learnt of its engines.
type engineEstimateCollector struct {
	read func() []forward.EngineEstimate

	prefillRate, prefillSamples, stepTime, stepSamples, age *prometheus.Desc
}

// WatchLearnt has the metrics tell what a forwarder has learnt, read when they are
// asked for.
func (f *Forward) WatchLearnt(read func() []forward.EngineEstimate) {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "learnt", name), help, []string{"service"}, nil)
	}
	f.promRegistry.MustRegister(&engineEstimateCollector{
		read:           read,
		prefillRate:    desc("read_tokens_per_second", "Prompt tokens that an engine is expected to read in a second."),
		prefillSamples: desc("read_samples", "First tokens that this was learnt from."),
		stepTime:       desc("step_seconds", "Usual time of an engine's step."),
		stepSamples:    desc("step_samples", "Pauses between events that this was learnt from."),
		age:            desc("age_seconds", "How long ago anything was learnt of the engines; an hour when nothing was."),
	})
}

// Describe sends the collector's metrics.
func (c *engineEstimateCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.prefillRate, c.prefillSamples, c.stepTime, c.stepSamples, c.age} {
		to <- d
	}
}

// Collect sends the values as they are now.
func (c *engineEstimateCollector) Collect(to chan<- prometheus.Metric) {
	for _, l := range c.read() {
		send := func(d *prometheus.Desc, value float64) {
			to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, string(l.Service))
		}
		send(c.prefillRate, l.PrefillRate)
		send(c.prefillSamples, float64(l.PrefillSamples))
		send(c.stepTime, l.StepTime.Seconds())
		send(c.stepSamples, float64(l.StepSamples))
		send(c.age, l.Age.Seconds())
	}
}
