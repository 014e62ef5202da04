// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/intake"
)

// linkCollector exports the bytes on a host's link.
type linkCollector struct {
	link  *intake.Link
	bytes *prometheus.Desc
}

// WatchLoad registers metrics of a host's load.
func (f *Forward) WatchLoad(m *intake.Meter) {
	f.promRegistry.MustRegister(&linkCollector{
		link:  m.Link,
		bytes: prometheus.NewDesc(prometheus.BuildFQName(namespace, "link", "bytes_total"), "Bytes on the host's link, by direction and by what they were exchanged with.", []string{"direction", "with"}, nil),
	})
	f.Gauge("link_out_use", "Part of the link's rate that is in use for sending; zero if the rate isn't known.", func() float64 { return m.Load().LinkOut })
	f.Gauge("link_in_use", "Part of the link's rate that is in use for receiving; zero if the rate isn't known.", func() float64 { return m.Load().LinkIn })
	f.Gauge("processor_lag_seconds", "How long what is due waits for the processor.", func() float64 { return m.Load().Lag.Seconds() })
	f.Gauge("upstream_connect_seconds", "Least time that a new connection to an upstream took lately; zero if there were few.", func() float64 { return m.Load().Connect.Seconds() })
}

// Describe sends the descriptor of the collector's metric.
func (c *linkCollector) Describe(to chan<- *prometheus.Desc) { to <- c.bytes }

// Collect sends the current values.
func (c *linkCollector) Collect(to chan<- prometheus.Metric) {
	send := func(with string, sent, received int64) {
		to <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(sent), "sent", with)
		to <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(received), "received", with)
	}
	for with, t := range map[string]*intake.Traffic{"callers": &c.link.Callers, "upstreams": &c.link.Upstreams} {
		sent, received := t.Bytes()
		send(with, sent, received)
	}
	if c.link.Peers != nil {
		sent, received := c.link.Peers()
		send("peers", sent, received)
	}
}
