// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// stepTimeModel learns how an engine's step grows with its batch: a straight line
// through the reports, the older ones fading. The zero value knows nothing.
type stepTimeModel struct {
	n, x, y, xx, xy float64
}

// stepTimeDecaySamples is how many reports the line remembers.
const stepTimeDecaySamples = 400

func (s *stepTimeModel) observe(running int, step time.Duration) {
	if running <= 0 || step <= 0 {
		return
	}
	const keep = 1 - 1.0/stepTimeDecaySamples
	x, y := float64(running), float64(step)
	s.n = s.n*keep + 1
	s.x = s.x*keep + x
	s.y = s.y*keep + y
	s.xx = s.xx*keep + x*x
	s.xy = s.xy*keep + x*y
}

// minBatchVariance is the variance of the batch sizes below which their slope says
// nothing.
const minBatchVariance = 1.0

// stepLine is the expected step, in nanoseconds, by batch size.
type stepLine struct {
	base, slope float64
}

// at is the expected step at a batch size.
func (l stepLine) at(running int) float64 { return max(l.base+l.slope*float64(running), 0) }

// fit is the straight fit through the reports; it is zero when nothing is
// known.
func (s *stepTimeModel) fit() stepLine {
	if s.n < 1 {
		return stepLine{}
	}
	meanX, meanY := s.x/s.n, s.y/s.n
	spread := s.xx/s.n - meanX*meanX
	slope := 0.0
	if spread > minBatchVariance {
		slope = max((s.xy/s.n-meanX*meanY)/spread, 0)
	}
	return stepLine{base: meanY - slope*meanX, slope: slope}
}
