// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package pace

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the resolution of the step times: a bucket is 9% wide.
	bucketsPerOctave = 8
	// bucketCount covers minStep to maxStep, 16.6 octaves.
	bucketCount = 17 * bucketsPerOctave
	// decayInterval is the time between two updates of the weights, which keeps the cost of a
	// sample low. It is short against decayTime.
	decayInterval = 250 * time.Millisecond
	// baseQuantile, usualQuantile and slowQuantile are the quantiles of BaseStep, Step and SlowStep.
	baseQuantile  = 0.1
	usualQuantile = 0.5
	slowQuantile  = 0.9
)

// sampleSet holds one host's samples of one engine as a histogram with logarithmic buckets, whose
// weights decay. The zero value is empty. Adding a sample doesn't allocate.
type sampleSet struct {
	buckets [bucketCount]float32
	// weight is the sum of buckets as of decayedAt, plus the samples added since.
	weight    float64
	decayedAt time.Time
	lastAt    time.Time
}

func (s *sampleSet) isEmpty() bool { return s.weight == 0 }

// age returns the age of the newest sample.
func (s *sampleSet) age(now time.Time) time.Duration { return max(now.Sub(s.lastAt), 0) }

// samples returns the number of samples as of the newest one, with older ones weighted by their age.
func (s *sampleSet) samples() int { return int(math.Ceil(s.weight - 1e-6)) }

// add adds a valid step.
func (s *sampleSet) add(now time.Time, step time.Duration) {
	if s.isEmpty() {
		s.decayedAt = now
	}
	if elapsed := now.Sub(s.decayedAt); elapsed >= decayInterval {
		keep := math.Exp(-float64(elapsed) / float64(decayTime))
		s.weight = 0
		for i := range s.buckets {
			s.buckets[i] *= float32(keep)
			s.weight += float64(s.buckets[i])
		}
		s.decayedAt = now
	}
	s.buckets[bucketOf(step)]++
	s.weight++
	s.lastAt = now
}

func bucketOf(step time.Duration) int {
	octaves := math.Log2(float64(step) / float64(minStep))
	return min(max(int(octaves*bucketsPerOctave), 0), bucketCount-1)
}

// bucketStep returns the step at a position on the scale of the buckets.
func bucketStep(position float64) time.Duration {
	return time.Duration(float64(minStep) * math.Exp2(position/bucketsPerOctave))
}

// quantiles returns the steps that nine in ten, half and a tenth of the samples exceed.
func (s *sampleSet) quantiles() (base, usual, slow time.Duration) {
	sum, highest := 0.0, 0
	for i, n := range s.buckets {
		if n == 0 {
			continue
		}
		highest = i
		before := sum
		sum += float64(n)
		at := func(quantile float64) time.Duration {
			return min(bucketStep(float64(i)+(quantile*s.weight-before)/float64(n)), maxStep)
		}
		if base == 0 && sum >= baseQuantile*s.weight {
			base = at(baseQuantile)
		}
		if usual == 0 && sum >= usualQuantile*s.weight {
			usual = at(usualQuantile)
		}
		if sum >= slowQuantile*s.weight {
			return base, usual, at(slowQuantile)
		}
	}
	// Rounding left the sum below the quantile: the highest bucket in use counts.
	return base, usual, min(bucketStep(float64(highest+1)), maxStep)
}
