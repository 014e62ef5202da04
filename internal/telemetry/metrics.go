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

// EntryMetrics counts what an entry does. Use NewMetrics.
type EntryMetrics struct {
	registry
	firstToken       *prometheus.HistogramVec
	betweenTokens    *prometheus.HistogramVec
	stallSeconds     *prometheus.CounterVec
	queueTime        *prometheus.HistogramVec
	answers          *prometheus.CounterVec
	placements       *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	preemptions      *prometheus.GaugeVec
	engineUsedTokens *prometheus.GaugeVec
	engineRunning    *prometheus.GaugeVec
	retries          *prometheus.CounterVec
	resumes          *prometheus.CounterVec
	withheld         *prometheus.CounterVec
	platformCalls    *prometheus.CounterVec
}

// stallThreshold is the pause between tokens that a waiting person notices.
const stallThreshold = time.Second

var (
	firstTokenBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16, 32}
	tokenBuckets      = []float64{.005, .01, .02, .03, .05, .07, .1, .2, .5, 1, 2, 5, 10}
)

// NewEntryMetrics returns metrics in a registry of their own.
func NewEntryMetrics() *EntryMetrics {
	m := &EntryMetrics{registry: newRegistry()}
	m.firstToken = m.histogram("first_token_seconds", "Time from a request to its first token.", firstTokenBuckets, "pool")
	m.betweenTokens = m.histogram("between_tokens_seconds", "Time from one token to the next.", tokenBuckets, "pool")
	m.stallSeconds = m.counter("stall_seconds_total", "Time that callers spent in pauses of a second and more.", "pool")
	m.queueTime = m.histogram("wait_seconds", "Time that generations were queued for an engine.", firstTokenBuckets, "pool")
	m.answers = m.counter("answers_total", "Calls by how they ended.", "kind", "outcome", "run")
	m.placements = m.counter("placements_total", "Generations by who found their engine.", "pool", "by")
	m.refusals = m.counter("refusals_total", "Generations that got no place, by reason.", "pool", "reason")
	m.preemptions = m.gauge("engine_preemptions", "Runs that an engine threw back since its start.", "pool", "engine")
	m.engineUsedTokens = m.gauge("engine_used_tokens", "Memory in use on an engine.", "pool", "engine")
	m.engineRunning = m.gauge("engine_running", "Runs in an engine's batch.", "pool", "engine")
	m.retries = m.counter("retries_total", "Calls that were started again.", "why")
	m.resumes = m.counter("resumes_total", "Streams that were taken up again.", "why")
	m.withheld = m.counter("spoilt_total", "Upstream events and answers that were kept from callers.", "what")
	m.platformCalls = m.counter("platform_calls_total", "Calls to the platform's service.", "call", "outcome")
	m.promRegistry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// FirstToken records the time to a first token.
func (m *EntryMetrics) FirstToken(pool resource.Name, d time.Duration) {
	m.firstToken.WithLabelValues(string(pool)).Observe(d.Seconds())
}

// BetweenTokens records the time between two tokens.
func (m *EntryMetrics) BetweenTokens(pool resource.Name, d time.Duration) {
	m.betweenTokens.WithLabelValues(string(pool)).Observe(d.Seconds())
	if d >= stallThreshold {
		m.stallSeconds.WithLabelValues(string(pool)).Add(d.Seconds())
	}
}

// Waited records a time in the queue.
func (m *EntryMetrics) Waited(pool resource.Name, d time.Duration) {
	m.queueTime.WithLabelValues(string(pool)).Observe(d.Seconds())
}

// Answered counts a call's end.
func (m *EntryMetrics) Answered(kind, outcome string, run entry.RunState) {
	m.answers.WithLabelValues(kind, outcome, string(run)).Inc()
}

// Placed counts who found an engine.
func (m *EntryMetrics) Placed(pool resource.Name, by string) {
	m.placements.WithLabelValues(string(pool), by).Inc()
}

// Refused counts a generation that got no place.
func (m *EntryMetrics) Refused(pool resource.Name, reason policy.Reason) {
	m.refusals.WithLabelValues(string(pool), string(reason)).Inc()
}

// EngineLoad records an engine's last report.
func (m *EntryMetrics) EngineLoad(pool resource.Name, load entry.EngineLoad) {
	m.preemptions.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.Preemptions))
	m.engineUsedTokens.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.UsedMemory))
	m.engineRunning.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.Running))
}

// Retried counts a call started again.
func (m *EntryMetrics) Retried(why string) { m.retries.WithLabelValues(why).Inc() }

// Resumed counts a stream taken up again.
func (m *EntryMetrics) Resumed(why string) { m.resumes.WithLabelValues(why).Inc() }

// Spoilt counts what was kept from a caller.
func (m *EntryMetrics) Spoilt(what string) { m.withheld.WithLabelValues(what).Inc() }

// PlatformCall counts a call to the platform's service.
func (m *EntryMetrics) PlatformCall(call, outcome string) {
	m.platformCalls.WithLabelValues(call, outcome).Inc()
}
