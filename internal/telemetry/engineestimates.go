// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/forward"
)

// engineEstimateCollector exports a forwarder's estimates of its engines.
type engineEstimateCollector struct {
	read func() []forward.EngineEstimate

	prefillRate, prefillSamples, stepTime, stepSamples, age *prometheus.Desc
}

// WatchLearnt registers metrics for a forwarder's engine estimates. read is called at each
// scrape.
func (f *Forward) WatchLearnt(read func() []forward.EngineEstimate) {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "learnt", name), help, []string{"service"}, nil)
	}
	f.promRegistry.MustRegister(&engineEstimateCollector{
		read:           read,
		prefillRate:    desc("read_tokens_per_second", "Estimated prompt tokens that an engine reads per second (prefill rate)."),
		prefillSamples: desc("read_samples", "Number of first tokens from which the prefill rate was estimated."),
		stepTime:       desc("step_seconds", "Estimated duration of an engine's decode step."),
		stepSamples:    desc("step_samples", "Number of pauses between events from which the step duration was estimated."),
		age:            desc("age_seconds", "Time since the estimates of the engines were last updated; an hour if they never were."),
	})
}

// Describe sends the descriptors of the collector's metrics.
func (c *engineEstimateCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.prefillRate, c.prefillSamples, c.stepTime, c.stepSamples, c.age} {
		to <- d
	}
}

// Collect sends the current values.
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
