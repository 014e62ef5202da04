// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package bench

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/resource"
)

// measurement holds the results of one simulation. Arrivals during the warm-up don't
// count, except in wastedPerToken.
type measurement struct {
	generations int
	// finishedPerSecond is the number of tokens of finished answers per second.
	finishedPerSecond float64
	// preemptionsPer1000 is the number of preemptions per 1000 generations.
	preemptionsPer1000 float64
	// stallP99 and stallMean are the 99th percentile and the mean of the generations'
	// total stall time.
	stallP99, stallMean time.Duration
	// longestGapP99 is the 99th percentile of the generations' longest gaps between
	// tokens.
	longestGapP99 time.Duration
	// firstTokenP95 is the 95th percentile of the time to the first token.
	firstTokenP95 time.Duration
	// refusedFraction is the fraction of generations whose first attempt was refused,
	// and retryGrantedFraction the fraction of retries that were granted.
	refusedFraction, retryGrantedFraction float64
	lostFraction                          float64
	// minShare is the lowest ratio, over all accounts, of the tokens that an account
	// received to the tokens it requested or its fair share, whichever is less. It is
	// at most 1.
	minShare float64
	// wastedPerToken is the number of tokens recomputed or lost per generated token.
	wastedPerToken float64
}

// results computes the measurement of a finished simulation.
func (s *simulation) results() measurement {
	var r measurement
	var stalls, gaps, firsts []time.Duration
	var refused, retried, retriesGranted, lost, preemptions, finished int
	begin := s.start.Add(warmUp)
	for _, g := range s.generations {
		if s.start.Add(g.offset).Before(begin) {
			continue
		}
		r.generations++
		preemptions += g.preemptions
		switch {
		case g.retried || g.refused:
			refused++
		case g.lost:
			lost++
		}
		if g.retried {
			retried++
			if g.retryGranted {
				retriesGranted++
			}
		}
		if g.firstTokenAt.IsZero() {
			continue
		}
		if g.done {
			finished += g.generatedTokens
		}
		stalls = append(stalls, g.stallTime)
		gaps = append(gaps, g.longestGap)
		firsts = append(firsts, g.firstTokenAt.Sub(s.start.Add(g.offset)))
		r.stallMean += g.stallTime
	}
	n := max(r.generations, 1)
	r.finishedPerSecond = float64(finished) / s.busySpan().Seconds()
	r.preemptionsPer1000 = 1000 * float64(preemptions) / float64(n)
	r.stallMean /= time.Duration(n)
	r.stallP99, r.longestGapP99, r.firstTokenP95 = percentile(stalls, 99), percentile(gaps, 99), percentile(firsts, 95)
	r.refusedFraction, r.lostFraction = float64(refused)/float64(n), float64(lost)/float64(n)
	r.retryGrantedFraction = float64(retriesGranted) / float64(max(retried, 1))
	r.minShare = s.minShare(begin)
	r.wastedPerToken = s.wastedPerToken()
	return r
}

// busySpan returns the time from the end of the warm-up to the last token, or to the
// end of the arrivals if that is later.
func (s *simulation) busySpan() time.Duration {
	last := s.start.Add(arrivalPeriod)
	for _, g := range s.generations {
		if g.lastTokenAt.After(last) {
			last = g.lastTokenAt
		}
	}
	return last.Sub(s.start) - warmUp
}

// wastedPerToken counts the tokens that engines recomputed and those of lost answers,
// per generated token.
func (s *simulation) wastedPerToken() float64 {
	recomputed, generated := 0, 0
	for _, e := range s.engines {
		recomputed += e.model.Load().RecomputedTokens
	}
	for _, g := range s.generations {
		generated += g.generatedTokens
		if g.lost {
			recomputed += g.generatedTokens
		}
	}
	return float64(recomputed) / float64(max(generated, 1))
}

// minShare returns the lowest ratio of received to due tokens over all accounts. An
// account is due what it requested, but no more than an equal share of all tokens.
func (s *simulation) minShare(begin time.Time) float64 {
	requested, received := map[resource.Account]float64{}, map[resource.Account]float64{}
	total := 0.0
	for _, g := range s.generations {
		if s.start.Add(g.offset).Before(begin) {
			continue
		}
		requested[g.request.Account] += float64(g.outputTokens)
		if g.done {
			received[g.request.Account] += float64(g.outputTokens)
			total += float64(g.outputTokens)
		}
	}
	fairShare := total / float64(max(len(requested), 1))
	least := 1.0
	for account, accountRequested := range requested {
		least = min(least, received[account]/min(accountRequested, fairShare))
	}
	return least
}

// percentile sorts d and returns its p-th percentile, or zero if d is empty.
func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)*p/100, len(d)-1)]
}
