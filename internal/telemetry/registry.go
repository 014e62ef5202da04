// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of every metric's name.
const namespace = "shedpath"

// registry registers and serves the metrics of one process.
type registry struct {
	promRegistry *prometheus.Registry
}

func newRegistry() registry { return registry{promRegistry: prometheus.NewRegistry()} }

func (r registry) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	r.promRegistry.MustRegister(c)
	return c
}

func (r registry) histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	r.promRegistry.MustRegister(h)
	return h
}

func (r registry) gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	r.promRegistry.MustRegister(g)
	return g
}

// Gauge registers a gauge whose value is read at each scrape.
func (r registry) Gauge(name, help string, read func() float64) {
	r.promRegistry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Handler returns a handler that serves the metrics.
func (r registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.promRegistry, promhttp.HandlerOpts{})
}
