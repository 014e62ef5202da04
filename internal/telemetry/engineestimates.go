// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/forward"
)

// learntCollector serves what a forwarder has learnt of its engines.
type learntCollector struct {
	read func() []forward.EngineEstimate

	readRate, readSamples, step, stepSamples, age *prometheus.Desc
}

// WatchLearnt has the metrics tell what a forwarder has learnt, read when they are
// asked for.
func (f *Forward) WatchLearnt(read func() []forward.EngineEstimate) {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "learnt", name), help, []string{"service"}, nil)
	}
	f.all.MustRegister(&learntCollector{
		read:        read,
		readRate:    desc("read_tokens_per_second", "Prompt tokens that an engine is expected to read in a second."),
		readSamples: desc("read_samples", "First tokens that this was learnt from."),
		step:        desc("step_seconds", "Usual time of an engine's step."),
		stepSamples: desc("step_samples", "Pauses between events that this was learnt from."),
		age:         desc("age_seconds", "How long ago anything was learnt of the engines; an hour when nothing was."),
	})
}

// Describe sends the collector's metrics.
func (c *learntCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.readRate, c.readSamples, c.step, c.stepSamples, c.age} {
		to <- d
	}
}

// Collect sends the values as they are now.
func (c *learntCollector) Collect(to chan<- prometheus.Metric) {
	for _, l := range c.read() {
		send := func(d *prometheus.Desc, value float64) {
			to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, string(l.Service))
		}
		send(c.readRate, l.PrefillRate)
		send(c.readSamples, float64(l.PrefillSamples))
		send(c.step, l.StepTime.Seconds())
		send(c.stepSamples, float64(l.StepSamples))
		send(c.age, l.Age.Seconds())
	}
}
