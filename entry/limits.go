// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/shedpath/shedpath/resource"
)

// accountLimits keeps each account within its limits at this entry. The zero
// value works.
type accountLimits struct {
	mu       sync.Mutex
	accounts map[resource.Account]*accountUsage
}

type accountUsage struct {
	running int
	limiter *rate.Limiter
}

// acquire takes a call of the account in, or says when it may come back. A zero
// wait with false means that its calls in flight are at the limit.
func (l *accountLimits) acquire(now time.Time, name resource.Account, a resource.ClientAccount) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	use := l.usage(name, a)
	if a.MaxRunning > 0 && use.running >= a.MaxRunning {
		return 0, false
	}
	if a.RequestsPerSecond > 0 {
		reservation := use.limiter.ReserveN(now, 1)
		if wait := reservation.DelayFrom(now); wait > 0 {
			reservation.CancelAt(now)
			return wait, false
		}
	}
	use.running++
	return 0, true
}

func (l *accountLimits) usage(name resource.Account, a resource.ClientAccount) *accountUsage {
	if l.accounts == nil {
		l.accounts = map[resource.Account]*accountUsage{}
	}
	use := l.accounts[name]
	if use == nil {
		use = &accountUsage{limiter: rate.NewLimiter(0, 1)}
		l.accounts[name] = use
	}
	if perSecond := rate.Limit(a.RequestsPerSecond); use.limiter.Limit() != perSecond {
		use.limiter.SetLimit(perSecond)
		use.limiter.SetBurst(max(1, int(a.RequestsPerSecond)))
	}
	return use
}

func (l *accountLimits) release(name resource.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if use := l.accounts[name]; use != nil {
		use.running--
	}
}

// retryBudget allows retries as a share of recent successes, so that a fault
// that hits everyone isn't answered with twice the load. The zero value has
// the first few retries to give.
type retryBudget struct {
	mu sync.Mutex
	// spent is the retries taken less those earned; it stays between the two
	// bounds below.
	spent float64
}

const (
	// retriesPerSuccess is how many successes earn one retry, as its inverse.
	retriesPerSuccess = 0.1
	// retryReserve is how many retries may be taken before any was earned.
	retryReserve = 10
)

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-retriesPerSuccess, -retryReserve)
}
