// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package telemetry is the adapter to metrics, traces and logs.
package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// Metrics counts what an entry does. Use NewMetrics.
type Metrics struct {
	registry
	firstToken    *prometheus.HistogramVec
	betweenTokens *prometheus.HistogramVec
	stall         *prometheus.CounterVec
	waited        *prometheus.HistogramVec
	answered      *prometheus.CounterVec
	placed        *prometheus.CounterVec
	refused       *prometheus.CounterVec
	preemptions   *prometheus.GaugeVec
	engineUsed    *prometheus.GaugeVec
	engineRunning *prometheus.GaugeVec
	retried       *prometheus.CounterVec
	resumed       *prometheus.CounterVec
	spoilt        *prometheus.CounterVec
	platform      *prometheus.CounterVec
}

// stallAfter is the pause between tokens that a waiting person notices.
const stallAfter = time.Second

var (
	firstTokenBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16, 32}
	tokenBuckets      = []float64{.005, .01, .02, .03, .05, .07, .1, .2, .5, 1, 2, 5, 10}
)

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{registry: newRegistry()}
	m.firstToken = m.histogram("first_token_seconds", "Time from a request to its first token.", firstTokenBuckets, "pool")
	m.betweenTokens = m.histogram("between_tokens_seconds", "Time from one token to the next.", tokenBuckets, "pool")
	m.stall = m.counter("stall_seconds_total", "Time that callers spent in pauses of a second and more.", "pool")
	m.waited = m.histogram("wait_seconds", "Time that generations were queued for an engine.", firstTokenBuckets, "pool")
	m.answered = m.counter("answers_total", "Calls by how they ended.", "kind", "outcome", "run")
	m.placed = m.counter("placements_total", "Generations by who found their engine.", "pool", "by")
	m.refused = m.counter("refusals_total", "Generations that got no place, by reason.", "pool", "reason")
	m.preemptions = m.gauge("engine_preemptions", "Runs that an engine threw back since its start.", "pool", "engine")
	m.engineUsed = m.gauge("engine_used_tokens", "Memory in use on an engine.", "pool", "engine")
	m.engineRunning = m.gauge("engine_running", "Runs in an engine's batch.", "pool", "engine")
	m.retried = m.counter("retries_total", "Calls that were started again.", "why")
	m.resumed = m.counter("resumes_total", "Streams that were taken up again.", "why")
	m.spoilt = m.counter("spoilt_total", "Upstream events and answers that were kept from callers.", "what")
	m.platform = m.counter("platform_calls_total", "Calls to the platform's service.", "call", "outcome")
	m.all.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// FirstToken records the time to a first token.
func (m *Metrics) FirstToken(pool resource.Name, d time.Duration) {
	m.firstToken.WithLabelValues(string(pool)).Observe(d.Seconds())
}

// BetweenTokens records the time between two tokens.
func (m *Metrics) BetweenTokens(pool resource.Name, d time.Duration) {
	m.betweenTokens.WithLabelValues(string(pool)).Observe(d.Seconds())
	if d >= stallAfter {
		m.stall.WithLabelValues(string(pool)).Add(d.Seconds())
	}
}

// Waited records a time in the queue.
func (m *Metrics) Waited(pool resource.Name, d time.Duration) {
	m.waited.WithLabelValues(string(pool)).Observe(d.Seconds())
}

// Answered counts a call's end.
func (m *Metrics) Answered(kind, outcome string, run entry.RunState) {
	m.answered.WithLabelValues(kind, outcome, string(run)).Inc()
}

// Placed counts who found an engine.
func (m *Metrics) Placed(pool resource.Name, by string) {
	m.placed.WithLabelValues(string(pool), by).Inc()
}

// Refused counts a generation that got no place.
func (m *Metrics) Refused(pool resource.Name, reason policy.Reason) {
	m.refused.WithLabelValues(string(pool), string(reason)).Inc()
}

// EngineLoad records an engine's last report.
func (m *Metrics) EngineLoad(pool resource.Name, load entry.EngineLoad) {
	m.preemptions.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.Preemptions))
	m.engineUsed.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.UsedMemory))
	m.engineRunning.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.Running))
}

// Retried counts a call started again.
func (m *Metrics) Retried(why string) { m.retried.WithLabelValues(why).Inc() }

// Resumed counts a stream taken up again.
func (m *Metrics) Resumed(why string) { m.resumed.WithLabelValues(why).Inc() }

// Spoilt counts what was kept from a caller.
func (m *Metrics) Spoilt(what string) { m.spoilt.WithLabelValues(what).Inc() }

// PlatformCall counts a call to the platform's service.
func (m *Metrics) PlatformCall(call, outcome string) {
	m.platform.WithLabelValues(call, outcome).Inc()
}
