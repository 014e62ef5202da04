// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package consul

import (
	"time"

	"golang.org/x/time/rate"
)

// Priority ranks the platform calls: when the budget runs short, calls of lower priority are
// refused first.
type Priority int

// The priorities, highest first.
const (
	ConfigurationCalls Priority = iota
	ClaimCalls
	StatusCalls
)

// reservedFraction is the fraction of the burst that each priority leaves to higher ones.
var reservedFraction = map[Priority]float64{ConfigurationCalls: 0, ClaimCalls: 0.2, StatusCalls: 0.5}

// Budget keeps the calls of one daemon within its share of the platform's rates. Use NewBudget.
type Budget struct {
	writesPerSecond, readsPerSecond float64
	writes, reads                   *rate.Limiter
}

// The specified rates of the platform's service, and the fraction of them that shedpath uses.
const (
	PlatformWritesPerSecond = 100
	PlatformReadsPerSecond  = 2000
	usedFraction            = 0.8
	// burstSeconds is how many seconds of unused calls a daemon may accumulate.
	burstSeconds = 2
	minBurst     = 8
)

// NewBudget returns the budget of a single daemon; SetDaemons divides the rates among several.
func NewBudget(writesPerSecond, readsPerSecond float64) *Budget {
	return &Budget{
		writesPerSecond: writesPerSecond, readsPerSecond: readsPerSecond,
		writes: rate.NewLimiter(daemonShare(writesPerSecond, 1)),
		reads:  rate.NewLimiter(daemonShare(readsPerSecond, 1)),
	}
}

// daemonShare returns the rate and burst of one daemon.
func daemonShare(perSecond float64, daemons int) (rate.Limit, int) {
	ratePerSecond := perSecond * usedFraction / float64(max(daemons, 1))
	return rate.Limit(ratePerSecond), max(int(ratePerSecond*burstSeconds), minBurst)
}

// SetDaemons divides the platform's rates among n daemons.
func (b *Budget) SetDaemons(n int) {
	set := func(limiter *rate.Limiter, perSecond float64) {
		limit, burst := daemonShare(perSecond, n)
		if limiter.Limit() != limit {
			limiter.SetLimit(limit)
			limiter.SetBurst(burst)
		}
	}
	set(b.writes, b.writesPerSecond)
	set(b.reads, b.readsPerSecond)
}

func (b *Budget) allowWrite(now time.Time, c Priority) bool { return allowCall(b.writes, now, c) }
func (b *Budget) allowRead(now time.Time, c Priority) bool  { return allowCall(b.reads, now, c) }

func allowCall(limit *rate.Limiter, now time.Time, c Priority) bool {
	if limit.TokensAt(now) < reservedFraction[c]*float64(limit.Burst()) {
		return false
	}
	return limit.AllowN(now, 1)
}
