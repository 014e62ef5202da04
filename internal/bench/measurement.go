// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/resource"
)

// measurement is what one run measured.
type measurement struct {
	generations int
	// finishedPerSecond are tokens of answers that ended, a second.
	finishedPerSecond float64
	// preemptionsPer1000 are a thousand generations'.
	preemptionsPer1000 float64
	// stallP99 is the 99th percentile and stallMean the mean of the stall time
	// of a generation.
	stallP99, stallMean time.Duration
	// longestGapP99 is the 99th percentile of each generation's longest gap.
	longestGapP99 time.Duration
	// firstTokenP95 is the 95th percentile of the time to the first token.
	firstTokenP95 time.Duration
	// refusedFraction is the part that got no answer by its first asking; retryGrantedFraction the
	// part of those told to come back that were then let in.
	refusedFraction, retryGrantedFraction float64
	lostFraction                          float64
	// minShare is the minShare any account got of what it asked for or of its fair
	// share, whichever is less.
	minShare float64
	// wastedPerToken are the tokens read or made again for those made, at most 1 a
	// token.
	wastedPerToken float64
}

func (s *simulation) tally() measurement {
	var r measurement
	var stalls, gaps, firsts []time.Duration
	var refused, returned, taken, lost, preempted, finished int
	begin := s.start.Add(warmUp)
	for _, t := range s.generations {
		if s.start.Add(t.offset).Before(begin) {
			continue
		}
		r.generations++
		preempted += t.preemptions
		switch {
		case t.retried || t.refused:
			refused++
		case t.lost:
			lost++
		}
		if t.retried {
			returned++
			if t.retryGranted {
				taken++
			}
		}
		if t.firstTokenAt.IsZero() {
			continue
		}
		if t.done {
			finished += t.generatedTokens
		}
		stalls = append(stalls, t.stallTime)
		gaps = append(gaps, t.longestGap)
		firsts = append(firsts, t.firstTokenAt.Sub(s.start.Add(t.offset)))
		r.stallMean += t.stallTime
	}
	n := max(r.generations, 1)
	r.finishedPerSecond = float64(finished) / s.busySpan().Seconds()
	r.preemptionsPer1000 = 1000 * float64(preempted) / float64(n)
	r.stallMean /= time.Duration(n)
	r.stallP99, r.longestGapP99, r.firstTokenP95 = percentile(stalls, 99), percentile(gaps, 99), percentile(firsts, 95)
	r.refusedFraction, r.lostFraction = float64(refused)/float64(n), float64(lost)/float64(n)
	r.retryGrantedFraction = float64(taken) / float64(max(returned, 1))
	r.minShare = s.minShare(begin)
	r.wastedPerToken = s.wastedPerToken()
	return r
}

// busySpan is from the end of the warm-up to the last token.
func (s *simulation) busySpan() time.Duration {
	last := s.start.Add(arrivalPeriod)
	for _, t := range s.generations {
		if t.lastTokenAt.After(last) {
			last = t.lastTokenAt
		}
	}
	return last.Sub(s.start) - warmUp
}

func (s *simulation) wastedPerToken() float64 {
	recomputed, made := 0, 0
	for _, h := range s.engines {
		recomputed += h.model.Load().Recomputed
	}
	for _, t := range s.generations {
		made += t.generatedTokens
		if t.lost {
			recomputed += t.generatedTokens
		}
	}
	return float64(recomputed) / float64(max(made, 1))
}

// minShare compares what each account got with what it is due.
func (s *simulation) minShare(begin time.Time) float64 {
	asked, got := map[resource.Account]float64{}, map[resource.Account]float64{}
	total := 0.0
	for _, t := range s.generations {
		if s.start.Add(t.offset).Before(begin) {
			continue
		}
		asked[t.request.Account] += float64(t.outputTokens)
		if t.done {
			got[t.request.Account] += float64(t.outputTokens)
			total += float64(t.outputTokens)
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
