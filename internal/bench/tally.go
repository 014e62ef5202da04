// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/resource"
)

// tally is what one run measured.
type tally struct {
	generations int
	// finishedPerSecond are tokens of answers that ended, a second.
	finishedPerSecond float64
	// preemptions are a thousand generations'.
	preemptions float64
	// stallTail is the 99th percentile and stallSum the mean of the stall time
	// of a generation.
	stallTail, stallSum time.Duration
	// gapTail is the 99th percentile of each generation's longest gap.
	gapTail time.Duration
	// firstTail is the 95th percentile of the time to the first token.
	firstTail time.Duration
	// refused is the part that got no answer by its first asking; returned the
	// part of those told to come back that were then let in.
	refused, returned float64
	lost              float64
	// least is the least any account got of what it asked for or of its fair
	// share, whichever is less.
	least float64
	// wasted are the tokens read or made again for those made, at most 1 a
	// token.
	wasted float64
}

func (s *simulation) tally() tally {
	var r tally
	var stalls, gaps, firsts []time.Duration
	var refused, returned, taken, lost, preempted, finished int
	begin := s.start.Add(warmUp)
	for _, t := range s.order {
		if s.start.Add(t.at).Before(begin) {
			continue
		}
		r.generations++
		preempted += t.preempted
		switch {
		case t.returned || t.refused:
			refused++
		case t.lost:
			lost++
		}
		if t.returned {
			returned++
			if t.taken {
				taken++
			}
		}
		if t.first.IsZero() {
			continue
		}
		if t.done {
			finished += t.made
		}
		stalls = append(stalls, t.stall)
		gaps = append(gaps, t.worst)
		firsts = append(firsts, t.first.Sub(s.start.Add(t.at)))
		r.stallSum += t.stall
	}
	n := max(r.generations, 1)
	r.finishedPerSecond = float64(finished) / s.busySpan().Seconds()
	r.preemptions = 1000 * float64(preempted) / float64(n)
	r.stallSum /= time.Duration(n)
	r.stallTail, r.gapTail, r.firstTail = percentile(stalls, 99), percentile(gaps, 99), percentile(firsts, 95)
	r.refused, r.lost = float64(refused)/float64(n), float64(lost)/float64(n)
	r.returned = float64(taken) / float64(max(returned, 1))
	r.least = s.leastShare(begin)
	r.wasted = s.wasted()
	return r
}

// busySpan is from the end of the warm-up to the last token.
func (s *simulation) busySpan() time.Duration {
	last := s.start.Add(span)
	for _, t := range s.order {
		if t.last.After(last) {
			last = t.last
		}
	}
	return last.Sub(s.start) - warmUp
}

func (s *simulation) wasted() float64 {
	recomputed, made := 0, 0
	for _, h := range s.hosts {
		recomputed += h.model.Load().RecomputedTokens
	}
	for _, t := range s.order {
		made += t.made
		if t.lost {
			recomputed += t.made
		}
	}
	return float64(recomputed) / float64(max(made, 1))
}

// leastShare compares what each account got with what it is due.
func (s *simulation) leastShare(begin time.Time) float64 {
	asked, got := map[resource.Account]float64{}, map[resource.Account]float64{}
	total := 0.0
	for _, t := range s.order {
		if s.start.Add(t.at).Before(begin) {
			continue
		}
		asked[t.request.Account] += float64(t.length)
		if t.done {
			got[t.request.Account] += float64(t.length)
			total += float64(t.length)
		}
	}
	share := total / float64(max(len(asked), 1))
	least := 1.0
	for account, wanted := range asked {
		least = min(least, got[account]/min(wanted, share))
	}
	return least
}

func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)*p/100, len(d)-1)]
}
