// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/shedpath/shedpath/backoff"
	"github.com/shedpath/shedpath/eligibility"
	"github.com/shedpath/shedpath/enginereport"
	"github.com/shedpath/shedpath/forward"
	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/permit"
	"github.com/shedpath/shedpath/zoneload"
)

// Forward writes a forwarder's log and holds its metrics. Use NewForward.
type Forward struct {
	ringLog *RingLog
	logger  log.Logger
	sampler sampler
	registry
	*Uplinks
	*Intake

	accepted           prometheus.Counter
	inProgress         prometheus.Gauge
	inProgressCount    atomic.Int64
	answers            *prometheus.CounterVec
	requestDuration    *prometheus.HistogramVec
	firstEvent         prometheus.Observer
	eventGap           prometheus.Observer
	repeats            *prometheus.CounterVec
	moves              *prometheus.CounterVec
	movePause          prometheus.Observer
	storeCalls         *prometheus.CounterVec
	unreadableEntries  prometheus.Counter
	brokenConnections  *prometheus.CounterVec
	unframedAnswers    *prometheus.CounterVec
	suspendedSeconds   prometheus.Counter
	panics             prometheus.Counter
	hangs              *prometheus.CounterVec
	permits            *prometheus.CounterVec
	signals            *prometheus.CounterVec
	withheldSends      *prometheus.CounterVec
	sendsDespiteReason *prometheus.CounterVec
	unloggedRequests   prometheus.Counter
	engineReports      *prometheus.CounterVec
	zoneShifts         *prometheus.CounterVec
	admissions         *prometheus.HistogramVec
}

var (
	callBuckets  = []float64{.005, .01, .02, .03, .05, .07, .1, .15, .2, .3, .5, 1, 2, 5, 10, 40}
	pauseBuckets = []float64{.005, .01, .02, .03, .05, .07, .1, .14, .18, .25, .5, 1, 2, 5}
)

// NewForward returns the telemetry of a forwarder, which logs to a writer.
func NewForward(to io.Writer) *Forward {
	f := &Forward{ringLog: NewRingLog(to), registry: newRegistry()}
	f.logger = log.With(log.NewLogfmtLogger(f.ringLog), "ts", log.DefaultTimestampUTC)
	f.accepted = f.counter("requests_accepted_total", "Requests that this host began to handle. Each is counted in answers_total once it ends.").WithLabelValues()
	f.inProgress = f.gauge("requests_in_progress", "Requests that were accepted and haven't ended.").WithLabelValues()
	f.answers = f.counter("answers_total", "Requests by kind and outcome.", "kind", "outcome")
	f.requestDuration = f.histogram("request_seconds", "Time from a request's arrival to the end of its answer.", callBuckets, "kind")
	f.firstEvent = f.histogram("first_event_seconds", "Time from a request's arrival to the first event of its stream.", callBuckets).WithLabelValues()
	f.eventGap = f.histogram("event_gap_seconds", "Time between two consecutive events of a stream.", pauseBuckets).WithLabelValues()
	f.repeats = f.counter("repeats_total", "Requests that were sent to a further upstream, by reason.", "why")
	f.moves = f.counter("moves_total", "Stopped runs that were moved to another engine or lost, by outcome.", "outcome")
	f.movePause = f.histogram("move_pause_seconds", "Time for which a moved or lost run made no progress.", pauseBuckets).WithLabelValues()
	f.storeCalls = f.counter("store_calls_total", "Calls to the platform's store, by call and outcome.", "call", "outcome")
	f.Uplinks = newUplinks(&f.registry, f.log, f.sampled)
	f.Intake = newIntake(&f.registry, f.log)
	f.unreadableEntries = f.counter("unread_entries_total", "Entries of the platform's store that could not be read or used.").WithLabelValues()
	f.brokenConnections = f.counter("broken_connections_total", "Connections that an upstream ended before its answer was complete, by whether the upstream itself had ended.", "upstream")
	f.unframedAnswers = f.counter("unframed_answers_total", "Answers without a declared end, by who was found to have their upstream's address.", "upstream")
	f.suspendedSeconds = f.counter("suspended_seconds_total", "Time for which this machine was suspended.").WithLabelValues()
	f.panics = f.counter("panics_total", "Panics that were recovered from, in requests and in tasks of the host.").WithLabelValues()
	f.hangs = f.counter("hangs_total", "Times that this host was found hanging, by what can't go on: a lock or a request.", "what")
	f.permits = f.counter("permits_total", "Requests for a permit to send to a bounded upstream, by outcome.", "outcome")
	f.signals = f.counter("upstream_signals_total", "Signals that upstreams gave about themselves in their answers, by kind.", "signal")
	f.withheldSends = f.counter("sends_kept_back_total", "Sends to a chosen upstream that were withheld, by reason.", "reason")
	f.sendsDespiteReason = f.counter("sends_despite_total", "Sends that were made despite a reason against them, because a run would have been lost otherwise, by reason.", "reason")
	f.admissions = f.histogram("zone_admission_seconds", "Time for which requests that found no room waited for their zone's decision, by outcome.", callBuckets, "outcome")
	f.unloggedRequests = f.counter("unlogged_requests_total", "Request log lines that were left out by sampling.").WithLabelValues()
	f.engineReports = f.counter("engine_reports_total", "Requests for an engine's own report of its load, and unusable ones from peers, by outcome.", "outcome")
	f.zoneShifts = f.counter("zone_shifts_total", "Short answers that were requested in an emptier zone, and unusable loads of other zones, by outcome.", "outcome")
	f.promRegistry.MustRegister(
		collectors.NewGoCollector(),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "shedpath", Name: "log_lines_dropped_total", Help: "Log lines that were dropped because the log's buffer was full.",
		}, func() float64 { return float64(f.ringLog.Dropped()) }),
	)
	return f
}

// Close writes the buffered log lines and stops the log.
func (f *Forward) Close() { f.ringLog.Close() }

// sampled reports whether a line about a request is to be logged.
func (f *Forward) sampled(id string) bool {
	if f.sampler.shouldLog(time.Now(), id) {
		return true
	}
	f.unloggedRequests.Inc()
	return false
}

// Request logs a decision about one request, unless the log is above its rate and the
// request is not in the sample.
func (f *Forward) Request(id forward.RequestID, event string, keyvals ...any) {
	if !f.sampled(string(id)) {
		return
	}
	f.log(append([]any{"msg", event, "request", id}, keyvals...))
}

// HostEvent logs a change in what this host knows about the site, its upstreams, its peers
// or itself.
func (f *Forward) HostEvent(event string, keyvals ...any) {
	f.log(append([]any{"msg", event}, keyvals...))
}

func (f *Forward) log(keyvals []any) {
	// The ring's writes never fail. An error means that the key-value pairs can't be
	// encoded, which is a mistake in the call that tests reveal.
	_ = f.logger.Log(keyvals...)
}

// Accepted counts a request that this host began to handle.
func (f *Forward) Accepted() {
	f.accepted.Inc()
	f.inProgress.Inc()
	f.inProgressCount.Add(1)
}

// InProgress returns the number of accepted requests that haven't ended.
func (f *Forward) InProgress() int64 { return f.inProgressCount.Load() }

// DroppedLines returns how many lines the log has dropped.
func (f *Forward) DroppedLines() int64 { return f.ringLog.Dropped() }

// Answered counts a request that ended and records how long it took.
func (f *Forward) Answered(kind forward.Kind, outcome string, took time.Duration) {
	f.inProgress.Dec()
	f.inProgressCount.Add(-1)
	f.answers.WithLabelValues(string(kind), outcome).Inc()
	f.requestDuration.WithLabelValues(string(kind)).Observe(took.Seconds())
}

// FirstEvent records the time from a request's arrival to the first event of its stream.
func (f *Forward) FirstEvent(took time.Duration) { f.firstEvent.Observe(took.Seconds()) }

// EventGap records the time between two events of a stream.
func (f *Forward) EventGap(d time.Duration) { f.eventGap.Observe(d.Seconds()) }

// Repeated counts a request that is sent to a further upstream.
func (f *Forward) Repeated(why string) { f.repeats.WithLabelValues(why).Inc() }

// Moved counts a stopped run that was moved or lost, and records for how long it stood
// still.
func (f *Forward) Moved(outcome string, pause time.Duration) {
	f.moves.WithLabelValues(outcome).Inc()
	f.movePause.Observe(pause.Seconds())
}

// UnreadableEntries counts entries of the platform's store that could not be read or used.
func (f *Forward) UnreadableEntries(entries int) { f.unreadableEntries.Add(float64(entries)) }

// ConnectionBroken counts a connection that an upstream ended before its answer was
// complete. ended is set if the upstream itself had ended.
func (f *Forward) ConnectionBroken(ended bool) {
	upstream := "there"
	if ended {
		upstream = "ended"
	}
	f.brokenConnections.WithLabelValues(upstream).Inc()
}

// Identified counts what was found out about the upstream of an answer without a declared end.
func (f *Forward) Identified(i forward.Identity) { f.unframedAnswers.WithLabelValues(string(i)).Inc() }

// Suspended adds to the time for which this machine was suspended.
func (f *Forward) Suspended(d time.Duration) { f.suspendedSeconds.Add(d.Seconds()) }

// Panicked counts a panic that was recovered from.
func (f *Forward) Panicked() { f.panics.Inc() }

// Hung counts that this host was found hanging.
func (f *Forward) Hung(what string) { f.hangs.WithLabelValues(what).Inc() }

// ZoneShift counts what became of a short answer that was requested in an emptier zone.
func (f *Forward) ZoneShift(o zoneload.Outcome) { f.zoneShifts.WithLabelValues(string(o)).Inc() }

// EngineReport counts the outcome of a request for an engine's report.
func (f *Forward) EngineReport(o enginereport.Outcome) {
	f.engineReports.WithLabelValues(string(o)).Inc()
}

// Admission records how long a request waited for room in its zone, by its outcome.
func (f *Forward) Admission(o forward.AdmissionOutcome, waited time.Duration) {
	f.admissions.WithLabelValues(string(o)).Observe(waited.Seconds())
}

// Permit counts the outcome of a request for a permit to send to a bounded upstream.
func (f *Forward) Permit(o permit.Outcome) { f.permits.WithLabelValues(string(o)).Inc() }

// Signal counts a signal that an upstream gave about itself in an answer.
func (f *Forward) Signal(k forward.SignalKind) { f.signals.WithLabelValues(string(k)).Inc() }

// Send counts a send that was withheld, or made despite a reason against it.
func (f *Forward) Send(v eligibility.Verdict) {
	if !v.OK() {
		f.withheldSends.WithLabelValues(string(v.Reason)).Inc()
		return
	}
	f.sendsDespiteReason.WithLabelValues(string(v.Overridden)).Inc()
}

// WatchUnreached exports how many upstreams this host can't connect to.
func (f *Forward) WatchUnreached(read func() int) {
	f.Gauge("upstreams_unreached", "Upstreams that get no new work because this host can't connect to them.", func() float64 { return float64(read()) })
}

// WatchRelisted exports how many upstreams are listed again after they were said to leave, and aren't used yet.
func (f *Forward) WatchRelisted(read func() int) {
	f.Gauge("upstreams_relisted", "Upstreams that are listed again after they were said to leave, and that aren't used yet.", func() float64 { return float64(read()) })
}

// WatchSignals registers metrics that count the leaving upstreams, by the source that reported
// it first, and the upstreams that asked this host for backoff or to which traffic is
// returning. The functions are called at each scrape.
func (f *Forward) WatchSignals(leaving func() map[forward.LeavingSource]int, backoffs func() []backoff.Status) {
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "upstreams_leaving"), "Upstreams that are leaving, by the source that reported it first.", []string{"source"}, nil)
	f.promRegistry.MustRegister(&leavingCollector{desc, leaving})
	f.Gauge("upstreams_backing_off", "Upstreams that currently accept no requests from this host.", func() float64 {
		n := 0
		for _, e := range backoffs() {
			if e.Remaining > 0 {
				n++
			}
		}
		return float64(n)
	})
	f.Gauge("upstreams_returning", "Upstreams to which traffic is returning in steps after a backoff.", func() float64 {
		n := 0
		for _, e := range backoffs() {
			if e.Remaining == 0 {
				n++
			}
		}
		return float64(n)
	})
}

// leavingCollector exports the number of leaving upstreams per source.
type leavingCollector struct {
	desc *prometheus.Desc
	read func() map[forward.LeavingSource]int
}

// Describe sends the descriptor of the collector's metric.
func (c *leavingCollector) Describe(to chan<- *prometheus.Desc) { to <- c.desc }

// Collect sends the current values.
func (c *leavingCollector) Collect(to chan<- prometheus.Metric) {
	for source, n := range c.read() {
		to <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(n), string(source))
	}
}

// WatchPeers registers a metric for the number of live peers. read is called at each scrape.
func (f *Forward) WatchPeers(read func() int) {
	f.Gauge("peers", "Other hosts that this host heard from recently.", func() float64 { return float64(read()) })
}

// WatchZoneQueue registers a metric for the requests that wait at this host for room in its zone.
// read is called at each scrape.
func (f *Forward) WatchZoneQueue(read func() int) {
	f.Gauge("zone_queue", "Requests that wait at this host for room in its zone.", func() float64 { return float64(read()) })
}

// WatchOverdue registers a metric for how far the latest of the requests in progress is past its
// deadline. read is called at each scrape.
func (f *Forward) WatchOverdue(read func() time.Duration) {
	f.Gauge("oldest_overdue_seconds", "Time since the deadline of the request in progress that is furthest past its own.", func() float64 { return read().Seconds() })
}

// WatchEra registers metrics for the era of the platform's store as this host knows it and for
// the number of live peers that know another era. The functions are called at each scrape.
func (f *Forward) WatchEra(era func() history.Era, disagreeing func() int) {
	f.Gauge("store_era", "Era of the platform's store, which rises when the store is restored from a copy; zero while it is unknown.", func() float64 { return float64(era()) })
	f.Gauge("peers_in_other_era", "Other hosts, heard from recently, that know a different era of the platform's store.", func() float64 { return float64(disagreeing()) })
}

// StoreCall counts a call to the platform's store.
func (f *Forward) StoreCall(call, outcome string) { f.storeCalls.WithLabelValues(call, outcome).Inc() }

// sampler bounds the rate of request lines in the log. Above the rate only a sample of the
// requests is logged. The sample is chosen by request ID, so that within a period either all
// lines of a request are logged or none.
type sampler struct {
	mu sync.Mutex
	// periodStart is when the current period of one second began, and periodLines the lines
	// offered since.
	periodStart time.Time
	periodLines int
	// divisor is set once per period: one in divisor requests is logged.
	divisor uint64
}

// maxLinesPerSecond is the rate of request lines above which the log is sampled. A line
// costs about 10 µs of CPU time.
const maxLinesPerSecond = 300

func (s *sampler) shouldLog(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.periodStart) >= time.Second {
		s.divisor = uint64(s.periodLines/maxLinesPerSecond) + 1
		s.periodStart, s.periodLines = now, 0
	}
	s.periodLines++
	return s.divisor <= 1 || xxhash.Sum64String(id)%s.divisor == 0
}
