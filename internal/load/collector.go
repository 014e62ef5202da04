// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// collector adds up the outcomes of a run by kind. It is safe for concurrent use.
type collector struct {
	mu    sync.Mutex
	kinds map[string]*kindTotals
}

// kindTotals holds the counts and the latency histograms of one kind.
type kindTotals struct {
	report                              KindReport
	firstToken, betweenTokens, duration *hdrhistogram.Histogram
}

func newCollector(m Mix) *collector {
	g := &collector{kinds: map[string]*kindTotals{}}
	for _, k := range m.Kinds {
		g.kinds[k.Name] = &kindTotals{
			report:     KindReport{Codes: map[string]int64{}},
			firstToken: newHistogram(), betweenTokens: newHistogram(), duration: newHistogram(),
		}
	}
	return g
}

func (g *collector) add(k Kind, o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.kinds[k.Name]
	t.report.Calls++
	t.count(o)
	t.measure(o)
}

// addRetry adds the outcome of a retry. It doesn't count as another call.
func (g *collector) addRetry(k Kind, o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.kinds[k.Name]
	t.report.Retried++
	if o.complete() {
		t.report.RetriedComplete++
	}
	t.measure(o)
}

func (t *kindTotals) count(o outcome) {
	r := &t.report
	switch {
	case o.broken:
		r.Broken++
	case o.runState == "not_run":
		r.Refused++
	case o.runState == "partial":
		r.Partial++
	case o.runState == "unknown":
		r.Unknown++
	default:
		r.Complete++
	}
	if o.code != "" {
		r.Codes[o.code]++
	}
}

// measure records an outcome's tokens and durations. A duration outside the range of
// the histogram is recorded as the nearest bound.
func (t *kindTotals) measure(o outcome) {
	record := func(h *hdrhistogram.Histogram, d time.Duration) {
		_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
	}
	t.report.Tokens += int64(o.tokens)
	if o.outOfOrder {
		t.report.OutOfOrder++
	}
	if o.tokens > 0 {
		record(t.firstToken, o.timeToFirstToken)
	}
	for _, gap := range o.tokenGaps {
		record(t.betweenTokens, gap)
		if gap >= StallThreshold {
			t.report.Stalls++
			t.report.StallMillis += gap.Milliseconds()
		}
	}
	if o.complete() {
		record(t.duration, o.duration)
	}
}

func (g *collector) report(elapsed time.Duration, rate float64) Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Report{Seconds: elapsed.Seconds(), Rate: rate, Kinds: map[string]KindReport{}}
	for name, t := range g.kinds {
		kindReport := t.report
		kindReport.FirstToken, kindReport.BetweenTokens, kindReport.Duration = newQuantiles(t.firstToken), newQuantiles(t.betweenTokens), newQuantiles(t.duration)
		r.Kinds[name] = kindReport
	}
	return r
}

// progress writes one line per second to out until finished is closed.
func (g *collector) progress(out io.Writer, began time.Time, finished <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-finished:
			return
		case now := <-tick.C:
			var total KindReport
			g.mu.Lock()
			for _, t := range g.kinds {
				total.Calls += t.report.Calls
				total.Complete += t.report.Complete
				total.Refused += t.report.Refused
				total.Broken += t.report.Broken
				total.Tokens += t.report.Tokens
			}
			g.mu.Unlock()
			fmt.Fprintf(out, "%4.0fs  ended %d  whole %d  refused %d  broken %d  tokens %d\n",
				now.Sub(began).Seconds(), total.Calls, total.Complete, total.Refused, total.Broken, total.Tokens)
		}
	}
}

// WriteText writes the report to out as text tables.
func (r Report) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "%.1f s at %.1f calls a second\n\n", r.Seconds, r.Rate)
	names := make([]string, 0, len(r.Kinds))
	for name := range r.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tcalls\twhole\trefused\tcame back\ttaken\tpartial\tunknown\tbroken\tdisorder\ttokens\tstalls\tstall s\t")
	for _, name := range names {
		k := r.Kinds[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t\n", name, k.Calls, k.Complete, k.Refused,
			k.Retried, k.RetriedComplete, k.Partial, k.Unknown, k.Broken, k.OutOfOrder, k.Tokens, k.Stalls, float64(k.StallMillis)/1000)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	table = tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nkind\tmilliseconds\tp50\tp95\tp99\tmax\t")
	for _, name := range names {
		k := r.Kinds[name]
		for _, row := range []struct {
			what string
			q    Quantiles
		}{{"first token", k.FirstToken}, {"between tokens", k.BetweenTokens}, {"whole answer", k.Duration}} {
			if row.q.Count > 0 {
				fmt.Fprintf(table, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, row.what, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
			}
		}
	}
	return table.Flush()
}
