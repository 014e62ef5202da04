// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// causeRow collects the requests of one route that ended for one cause.
type causeRow struct {
	cause     Cause
	route     string
	durations []time.Duration
	first     Timeline
	last      Timeline
}

func (r *causeRow) median() time.Duration {
	slices.Sort(r.durations)
	return r.durations[len(r.durations)/2]
}

// WriteTable writes how many requests ended, by cause and route, the most frequent
// first. Each row names the first of its requests as an example.
func WriteTable(to io.Writer, stories []Timeline) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REQUESTS\tHOW THEY ENDED\tROUTE\tTOOK, MEDIAN\tFIRST\tLAST\tFOR INSTANCE")
	for _, r := range groupByCause(stories) {
		fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%s\t%s\t%s\n", len(r.durations), r.cause, dashIfEmpty(r.route), r.median().Round(time.Millisecond),
			formatTimeOfDay(r.first.Start), formatTimeOfDay(r.last.Start), r.first.Request)
	}
	return w.Flush()
}

func groupByCause(stories []Timeline) []*causeRow {
	type key struct {
		cause Cause
		route string
	}
	byKey := map[key]*causeRow{}
	var all []*causeRow
	for _, s := range stories {
		k := key{s.Cause, s.Route}
		r := byKey[k]
		if r == nil {
			r = &causeRow{cause: s.Cause, route: s.Route, first: s}
			byKey[k] = r
			all = append(all, r)
		}
		r.durations, r.last = append(r.durations, s.RequestDuration), s
	}
	slices.SortStableFunc(all, func(a, b *causeRow) int { return cmp.Compare(len(b.durations), len(a.durations)) })
	return all
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatTimeOfDay(t time.Time) string { return t.Format("15:04:05.000") }

// WriteTimeline writes the lines of one request, each with the time since the first, and
// how the request ended.
func WriteTimeline(to io.Writer, s Timeline) error {
	for _, line := range s.Lines {
		if _, err := fmt.Fprintf(to, "%s %8s %s %s\n", formatTimeOfDay(line.Timestamp), "+"+line.Timestamp.Sub(s.Start).Round(time.Millisecond).String(), line.Source, line.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(to, "%s\n", s.Cause)
	return err
}
