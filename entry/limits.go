// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/shedpath/shedpath/resource"
)

// accountLimits enforces the limits of each account at this entry. The zero value is ready to use.
type accountLimits struct {
	mu       sync.Mutex
	accounts map[resource.Account]*accountUsage
}

// accountUsage is an account's number of running calls and its rate limiter.
type accountUsage struct {
	running int
	limiter *rate.Limiter
}

// acquire admits a call of the account, or returns how long the caller must wait before it retries.
// If ok is false and wait is zero, the account has reached its maximum of running calls.
func (l *accountLimits) acquire(now time.Time, name resource.Account, a resource.ClientAccount) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.usage(name, a)
	if a.MaxRunning > 0 && usage.running >= a.MaxRunning {
		return 0, false
	}
	if a.RequestsPerSecond > 0 {
		reservation := usage.limiter.ReserveN(now, 1)
		if wait := reservation.DelayFrom(now); wait > 0 {
			reservation.CancelAt(now)
			return wait, false
		}
	}
	usage.running++
	return 0, true
}

// usage returns the account's usage and updates its rate limit. The caller must hold the mutex.
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

// release ends a call that acquire admitted.
func (l *accountLimits) release(name resource.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if usage := l.accounts[name]; usage != nil {
		usage.running--
	}
}

// retryBudget limits retries to a share of the recent successes, so that a fault that hits all
// calls doesn't multiply the load. The zero value allows retryReserve retries.
type retryBudget struct {
	mu sync.Mutex
	// spent is the number of retries taken minus the number earned. It stays between -retryReserve
	// and retryReserve.
	spent float64
}

const (
	// retriesPerSuccess is the number of retries that one success earns.
	retriesPerSuccess = 0.1
	// retryReserve is the number of retries that may be taken before any is earned.
	retryReserve = 10
)

// take takes a retry from the budget. It reports false if the budget is used up.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}

// earn adds the retries that one success earns.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-retriesPerSuccess, -retryReserve)
}
