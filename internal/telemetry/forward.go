// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/permit"
)

// Forward logs and counts what a forwarder does. Use NewForward.
type Forward struct {
	ring    *RingLog
	logger  log.Logger
	sampler sampler
	registry

	answered   *prometheus.CounterVec
	took       *prometheus.HistogramVec
	firstEvent prometheus.Observer
	gap        prometheus.Observer
	repeated   *prometheus.CounterVec
	moved      *prometheus.CounterVec
	movePause  prometheus.Observer
	store      *prometheus.CounterVec
	unread     prometheus.Counter
	broken     *prometheus.CounterVec
	suspended  prometheus.Counter
	permits    *prometheus.CounterVec
	signals    *prometheus.CounterVec
	keptBack   *prometheus.CounterVec
	sentAnyway *prometheus.CounterVec
	unlogged   prometheus.Counter
}

var (
	callBuckets  = []float64{.005, .01, .02, .03, .05, .07, .1, .15, .2, .3, .5, 1, 2, 5, 10, 40}
	pauseBuckets = []float64{.005, .01, .02, .03, .05, .07, .1, .14, .18, .25, .5, 1, 2, 5}
)

// NewForward returns telemetry that logs to a writer.
func NewForward(to io.Writer) *Forward {
	f := &Forward{ring: NewRingLog(to), registry: newRegistry()}
	f.logger = log.With(log.NewLogfmtLogger(f.ring), "ts", log.DefaultTimestampUTC)
	f.answered = f.counter("answers_total", "Requests by kind and how they ended.", "kind", "outcome")
	f.took = f.histogram("request_seconds", "Time from a request's arrival to the end of its answer.", callBuckets, "kind")
	f.firstEvent = f.histogram("first_event_seconds", "Time to a stream's first event.", callBuckets).WithLabelValues()
	f.gap = f.histogram("event_gap_seconds", "Time between two events of a stream.", pauseBuckets).WithLabelValues()
	f.repeated = f.counter("repeats_total", "Requests that were sent once more.", "why")
	f.moved = f.counter("moves_total", "Runs that were moved to another engine.", "outcome")
	f.movePause = f.histogram("move_pause_seconds", "How long a moved run stood still.", pauseBuckets).WithLabelValues()
	f.store = f.counter("store_calls_total", "Calls to the platform's store.", "call", "outcome")
	f.unread = f.counter("unread_entries_total", "Entries of the platform's store that couldn't be read or used.").WithLabelValues()
	f.broken = f.counter("broken_connections_total", "Connections that an upstream ended before its answer, by whether it had ended itself.", "upstream")
	f.suspended = f.counter("suspended_seconds_total", "Time for which this machine was suspended.").WithLabelValues()
	f.permits = f.counter("permits_total", "Answers to whether something may be sent to an upstream that is bounded.", "outcome")
	f.signals = f.counter("upstream_signals_total", "What upstreams told about themselves in their answers.", "signal")
	f.keptBack = f.counter("sends_kept_back_total", "What wasn't sent to the upstream that was chosen for it, by the reason.", "reason")
	f.sentAnyway = f.counter("sends_despite_total", "What was sent to an upstream although a reason was against it, for a run would be lost otherwise.", "reason")
	f.unlogged = f.counter("unlogged_requests_total", "Decisions that were left out of the log by sampling.").WithLabelValues()
	f.all.MustRegister(
		collectors.NewGoCollector(),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "shedpath", Name: "log_lines_dropped_total", Help: "Log lines that didn't fit into the ring.",
		}, func() float64 { return float64(f.ring.Dropped()) }),
	)
	return f
}

// Close writes the lines that still wait.
func (f *Forward) Close() { f.ring.Close() }

// Request notes a decision about one request, unless the log is over its rate
// and the request isn't one of the sample.
func (f *Forward) Request(id forward.RequestID, event string, keyvals ...any) {
	if !f.sampler.keep(time.Now(), string(id)) {
		f.unlogged.Inc()
		return
	}
	f.log(append([]any{"msg", event, "request", id}, keyvals...))
}

// HostEvent notes a change of what this host believes.
func (f *Forward) HostEvent(event string, keyvals ...any) {
	f.log(append([]any{"msg", event}, keyvals...))
}

func (f *Forward) log(keyvals []any) {
	// The ring takes every line; one that can't be encoded is a mistake in the
	// call and shows in the tests.
	_ = f.logger.Log(keyvals...)
}

// Answered counts a request's end.
func (f *Forward) Answered(kind forward.Kind, outcome string, took time.Duration) {
	f.answered.WithLabelValues(string(kind), outcome).Inc()
	f.took.WithLabelValues(string(kind)).Observe(took.Seconds())
}

// FirstEvent counts the time to a stream's first event.
func (f *Forward) FirstEvent(took time.Duration) { f.firstEvent.Observe(took.Seconds()) }

// EventGap counts the time between two events.
func (f *Forward) EventGap(d time.Duration) { f.gap.Observe(d.Seconds()) }

// Repeated counts a request that was sent once more.
func (f *Forward) Repeated(why string) { f.repeated.WithLabelValues(why).Inc() }

// Moved counts a run that was moved.
func (f *Forward) Moved(outcome string, pause time.Duration) {
	f.moved.WithLabelValues(outcome).Inc()
	f.movePause.Observe(pause.Seconds())
}

// UnreadableEntries counts entries that couldn't be read or used.
func (f *Forward) UnreadableEntries(entries int) { f.unread.Add(float64(entries)) }

// ConnectionBroken counts a connection that an upstream ended before its answer.
func (f *Forward) ConnectionBroken(ended bool) {
	upstream := "there"
	if ended {
		upstream = "ended"
	}
	f.broken.WithLabelValues(upstream).Inc()
}

// Suspended counts the time for which this machine was suspended.
func (f *Forward) Suspended(d time.Duration) { f.suspended.Add(d.Seconds()) }

// Permit counts an answer to whether something may be sent to a bounded upstream.
func (f *Forward) Permit(o permit.Outcome) { f.permits.WithLabelValues(string(o)).Inc() }

// Signal counts what an upstream told about itself in an answer.
func (f *Forward) Signal(k forward.SignalKind) { f.signals.WithLabelValues(string(k)).Inc() }

// Send counts what was not sent, or sent all the same.
func (f *Forward) Send(v eligibility.Verdict) {
	if !v.OK() {
		f.keptBack.WithLabelValues(string(v.Reason)).Inc()
		return
	}
	f.sentAnyway.WithLabelValues(string(v.Despite)).Inc()
}

// WatchSignals has the metrics tell which upstreams leave, by who told first, and how many want
// no requests from this host.
func (f *Forward) WatchSignals(leaving func() map[forward.LeavingSource]int, backoffs func() []backoff.Status) {
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "upstreams_leaving"), "Upstreams that leave, by who told first.", []string{"source"}, nil)
	f.all.MustRegister(&leavingCollector{desc, leaving})
	f.Gauge("upstreams_backing_off", "Upstreams that want no requests from this host at present.", func() float64 {
		n := 0
		for _, e := range backoffs() {
			if e.Remaining > 0 {
				n++
			}
		}
		return float64(n)
	})
	f.Gauge("upstreams_returning", "Upstreams to which traffic returns in steps after a backoff.", func() float64 {
		n := 0
		for _, e := range backoffs() {
			if e.Remaining == 0 {
				n++
			}
		}
		return float64(n)
	})
}

// leavingCollector serves how many upstreams leave.
type leavingCollector struct {
	desc *prometheus.Desc
	read func() map[forward.LeavingSource]int
}

// Describe sends the collector's metric.
func (c *leavingCollector) Describe(to chan<- *prometheus.Desc) { to <- c.desc }

// Collect sends the values as they are now.
func (c *leavingCollector) Collect(to chan<- prometheus.Metric) {
	for source, n := range c.read() {
		to <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(n), string(source))
	}
}

// WatchPeers has the metrics tell how many other hosts are heard.
func (f *Forward) WatchPeers(read func() int) {
	f.Gauge("peers", "Other hosts that were heard lately.", func() float64 { return float64(read()) })
}

// WatchEra has the metrics tell the era of the platform's store as this host knows it, and how
// many hosts that were heard lately know another.
func (f *Forward) WatchEra(era func() history.Era, disagreeing func() int) {
	f.Gauge("store_era", "Era of the platform's store, which rises when it is restored from a copy; zero while it isn't known.", func() float64 { return float64(era()) })
	f.Gauge("peers_in_other_era", "Other hosts, heard lately, that know another era of the platform's store.", func() float64 { return float64(disagreeing()) })
}

// StoreCall counts a call to the platform's store.
func (f *Forward) StoreCall(call, outcome string) { f.store.WithLabelValues(call, outcome).Inc() }

// sampler keeps the log within a rate: above it, only a part of the requests is
// logged, chosen by id, so that what is logged of a request is whole.
type sampler struct {
	mu sync.Mutex
	// since is when the present period began.
	since time.Time
	lines int
	// part is the number of requests that one in the log stands for.
	part uint64
}

// linesPerSecond is the rate of request lines above which the log is sampled;
// a line costs about 10 µs of the processor.
const linesPerSecond = 300

func (s *sampler) keep(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.since) >= time.Second {
		s.part = uint64(s.lines/linesPerSecond) + 1
		s.since, s.lines = now, 0
	}
	s.lines++
	return s.part <= 1 || xxhash.Sum64String(id)%s.part == 0
}
