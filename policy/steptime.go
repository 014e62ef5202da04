// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// stepTimeModel learns how an engine's step time grows with its batch size: it
// fits a straight line to the reports, with decaying weights. Its fields are the
// decayed sums of a least-squares fit, with x the batch size and y the step time
// in nanoseconds. The zero value is empty and ready to use.
type stepTimeModel struct {
	n, x, y, xx, xy float64
}

// stepTimeDecaySamples is the number of reports after which a report's weight has
// fallen to 1/e.
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

// minBatchVariance is the variance of the batch sizes below which no slope can be
// derived from them.
const minBatchVariance = 1.0

// stepLine is the expected step time, in nanoseconds, by batch size.
type stepLine struct {
	base, slope float64
}

// at returns the expected step time at a batch size.
func (l stepLine) at(running int) float64 { return max(l.base+l.slope*float64(running), 0) }

// fit returns the straight line through the reports; it is zero if there are
// none.
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
