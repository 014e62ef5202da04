// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shedpath/shedpath/intake"
)

// linkCollector exports the bytes on a host's link.
type linkCollector struct {
	link  *intake.Link
	bytes *prometheus.Desc
}

// Intake logs and counts the connections of callers.
type Intake struct {
	connections *prometheus.CounterVec
	log         func(keyvals []any)
}

func newIntake(r *registry, log func(keyvals []any)) *Intake {
	return &Intake{connections: r.counter("caller_connections_total", "New connections of callers: taken, or closed unread for lack of what the outcome names.", "outcome"), log: log}
}

// ConnectionTaken counts a connection that was taken.
func (i *Intake) ConnectionTaken() { i.connections.WithLabelValues("taken").Inc() }

// ConnectionClosed counts a connection that was closed unread.
func (i *Intake) ConnectionClosed(lacking intake.Resource) {
	i.connections.WithLabelValues(string(lacking)).Inc()
}

// ClosingBegan logs that this host begins to close connections.
func (i *Intake) ClosingBegan(lacking intake.Resource, l intake.Load) {
	i.log([]any{"msg", "no room for all callers", "lacking", lacking, "link_out", l.LinkOut, "link_in", l.LinkIn, "processor", l.Processor, "share_exceeded", l.ShareExceeded, "lag", l.Lag, "connect", l.Connect})
}

// ClosingEnded logs that this host has room for all callers again.
func (i *Intake) ClosingEnded(closed int, since time.Duration) {
	i.log([]any{"msg", "room for all callers again", "closed", closed, "during", since})
}

// WatchLoad registers metrics of a host's load.
func (f *Forward) WatchLoad(m *intake.Meter) {
	f.promRegistry.MustRegister(&linkCollector{
		link:  m.Link,
		bytes: prometheus.NewDesc(prometheus.BuildFQName(namespace, "link", "bytes_total"), "Bytes on the host's link, by direction and by what they were exchanged with.", []string{"direction", "with"}, nil),
	})
	f.Gauge("link_out_use", "Part of the link's rate that is in use for sending; zero if the rate isn't known.", func() float64 { return m.Load().LinkOut })
	f.Gauge("link_in_use", "Part of the link's rate that is in use for receiving; zero if the rate isn't known.", func() float64 { return m.Load().LinkIn })
	f.Gauge("processor_use", "Part of the processor's share that is in use; zero if the share isn't known.", func() float64 { return m.Load().Processor })
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
		tunnelsSent, tunnelsReceived := c.link.Tunnels.Bytes()
		send("peers", sent+tunnelsSent, received+tunnelsReceived)
	}
}
