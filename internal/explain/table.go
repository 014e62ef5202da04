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

// row is the requests of one route that ended in one way.
type row struct {
	cause Cause
	route string
	took  []time.Duration
	first Story
	last  Story
}

func (r *row) median() time.Duration {
	slices.Sort(r.took)
	return r.took[len(r.took)/2]
}

// WriteTable writes how requests ended, by cause and route, the most frequent
// first. Each row names a request to look at.
func WriteTable(to io.Writer, stories []Story) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REQUESTS\tHOW THEY ENDED\tROUTE\tTOOK, MEDIAN\tFIRST\tLAST\tFOR INSTANCE")
	for _, r := range rows(stories) {
		fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%s\t%s\t%s\n", len(r.took), r.cause, dash(r.route), r.median().Round(time.Millisecond),
			clock(r.first.Began), clock(r.last.Began), r.first.Request)
	}
	return w.Flush()
}

func rows(stories []Story) []*row {
	type key struct {
		cause Cause
		route string
	}
	byKey := map[key]*row{}
	var all []*row
	for _, s := range stories {
		k := key{s.Cause, s.Route}
		r := byKey[k]
		if r == nil {
			r = &row{cause: s.Cause, route: s.Route, first: s}
			byKey[k] = r
			all = append(all, r)
		}
		r.took, r.last = append(r.took, s.Took), s
	}
	slices.SortStableFunc(all, func(a, b *row) int { return cmp.Compare(len(b.took), len(a.took)) })
	return all
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// WriteStory writes one request's lines and how it ended.
func WriteStory(to io.Writer, s Story) error {
	for _, line := range s.Lines {
		if _, err := fmt.Fprintf(to, "%s %8s %s %s\n", clock(line.At), "+"+line.At.Sub(s.Began).Round(time.Millisecond).String(), line.Source, line.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(to, "%s\n", s.Cause)
	return err
}
