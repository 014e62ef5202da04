// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

// Package telemetry implements metrics, traces and logs with Prometheus, OpenTelemetry and
// logfmt.
package telemetry

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shedpath/shedpath/entry"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// EntryMetrics holds the metrics of an entry. Use NewEntryMetrics.
type EntryMetrics struct {
	registry
	*Uplinks
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

// stallThreshold is the shortest gap between tokens that counts as a stall, because a
// waiting person notices it.
const stallThreshold = time.Second

var (
	firstTokenBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 16, 32}
	tokenBuckets      = []float64{.005, .01, .02, .03, .05, .07, .1, .2, .5, 1, 2, 5, 10}
)

// NewEntryMetrics returns an entry's metrics in a new registry. Changes of its links are logged.
func NewEntryMetrics(logger log.Logger) *EntryMetrics {
	m := &EntryMetrics{registry: newRegistry()}
	// The requests that this entry connects for have no ids here.
	m.Uplinks = newUplinks(&m.registry, func(keyvals []any) { _ = level.Info(logger).Log(keyvals...) }, func(string) bool { return true })
	m.firstToken = m.histogram("first_token_seconds", "Time from a caller's request to its first token.", firstTokenBuckets, "pool")
	m.betweenTokens = m.histogram("between_tokens_seconds", "Time from one token to the next.", tokenBuckets, "pool")
	m.stallSeconds = m.counter("stall_seconds_total", "Total time of gaps between tokens that lasted a second or more.", "pool")
	m.queueTime = m.histogram("wait_seconds", "Time that generations were queued for an engine.", firstTokenBuckets, "pool")
	m.answers = m.counter("answers_total", "Calls by kind, outcome and state of the run.", "kind", "outcome", "run")
	m.placements = m.counter("placements_total", "Generations that were placed on an engine, by what decided the placement.", "pool", "by")
	m.refusals = m.counter("refusals_total", "Generations that could not be placed, by reason.", "pool", "reason")
	m.preemptions = m.gauge("engine_preemptions", "Runs that an engine has preempted since it started.", "pool", "engine")
	m.engineUsedTokens = m.gauge("engine_used_tokens", "Memory in use on an engine, in tokens.", "pool", "engine")
	m.engineRunning = m.gauge("engine_running", "Runs in an engine's batch.", "pool", "engine")
	m.retries = m.counter("retries_total", "Generations that were started again elsewhere, by reason.", "why")
	m.resumes = m.counter("resumes_total", "Streams that were resumed, by reason.", "why")
	m.withheld = m.counter("spoilt_total", "Upstream events and answers that were withheld from callers.", "what")
	m.platformCalls = m.counter("platform_calls_total", "Calls to the platform's service, by call and outcome.", "call", "outcome")
	m.promRegistry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// FirstToken records the time from a caller's request to its first token.
func (m *EntryMetrics) FirstToken(pool resource.Name, d time.Duration) {
	m.firstToken.WithLabelValues(string(pool)).Observe(d.Seconds())
}

// BetweenTokens records the time between two tokens, and adds it to the stall time if it is
// a stall.
func (m *EntryMetrics) BetweenTokens(pool resource.Name, d time.Duration) {
	m.betweenTokens.WithLabelValues(string(pool)).Observe(d.Seconds())
	if d >= stallThreshold {
		m.stallSeconds.WithLabelValues(string(pool)).Add(d.Seconds())
	}
}

// Waited records how long a generation was queued.
func (m *EntryMetrics) Waited(pool resource.Name, d time.Duration) {
	m.queueTime.WithLabelValues(string(pool)).Observe(d.Seconds())
}

// CallEnded counts a call that ended. outcome is "ok" or the code of the failure.
func (m *EntryMetrics) CallEnded(kind, outcome string, run entry.RunState) {
	m.answers.WithLabelValues(kind, outcome, string(run)).Inc()
}

// Placed counts a placement. by is what decided it: "coordinator", "local" or "zone".
func (m *EntryMetrics) Placed(pool resource.Name, by string) {
	m.placements.WithLabelValues(string(pool), by).Inc()
}

// Refused counts a generation that could not be placed.
func (m *EntryMetrics) Refused(pool resource.Name, reason policy.Reason) {
	m.refusals.WithLabelValues(string(pool), string(reason)).Inc()
}

// EngineLoad records an engine's latest load report.
func (m *EntryMetrics) EngineLoad(pool resource.Name, load entry.EngineLoad) {
	m.preemptions.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.Preemptions))
	m.engineUsedTokens.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.UsedMemory))
	m.engineRunning.WithLabelValues(string(pool), string(load.Engine)).Set(float64(load.Running))
}

// Retried counts a generation that was started again elsewhere.
func (m *EntryMetrics) Retried(why string) { m.retries.WithLabelValues(why).Inc() }

// Resumed counts a stream that was resumed.
func (m *EntryMetrics) Resumed(why string) { m.resumes.WithLabelValues(why).Inc() }

// Withheld counts an upstream's event or answer that was withheld from the caller.
func (m *EntryMetrics) Withheld(what string) { m.withheld.WithLabelValues(what).Inc() }

// PlatformCall counts a call to the platform's service.
func (m *EntryMetrics) PlatformCall(call, outcome string) {
	m.platformCalls.WithLabelValues(call, outcome).Inc()
}
