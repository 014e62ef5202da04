// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/shedpath/shedpath/claim"
	"github.com/shedpath/shedpath/history"
)

// A platform that comes back from an older copy has lost the claims that were made last. Entries
// write theirs again, and make no new ones until every entry has had the time for that.

const (
	// claimRetention is for how long an entry remembers its claims; a copy is some seconds old.
	claimRetention = time.Minute
	// restoreSettleTime is how long after a restore no new claims are made: heartbeats take the era to
	// all entries within three seconds.
	restoreSettleTime = 5 * time.Second
	// maxRecentClaims bounds how many are remembered: what the platform takes within a minute.
	maxRecentClaims = 8192
)

// claimHistory remembers what this entry has claimed, and since when claims are safe. The zero value
// works.
type claimHistory struct {
	mu sync.Mutex
	// newestEra is the newest that was told.
	newestEra history.Era
	// blockedUntil is until when no claim may be made.
	blockedUntil time.Time
	// claims are this entry's claims, in the order of their times.
	claims []recentClaim
}

type recentClaim struct {
	key    string
	record claim.Record
	madeAt time.Time
}

// observeEra takes in that an era was told, and returns the claims that have to be written again because
// it is a new one.
func (k *claimHistory) observeEra(now time.Time, era history.Era) []recentClaim {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era <= k.newestEra {
		return nil
	}
	first := k.newestEra == 0
	k.newestEra = era
	if first {
		return nil
	}
	k.blockedUntil = now.Add(restoreSettleTime)
	k.dropExpired(now)
	return append([]recentClaim(nil), k.claims...)
}

func (k *claimHistory) knownEra() history.Era {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestEra
}

// blockedFor is how much longer no claim may be made.
func (k *claimHistory) blockedFor(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.blockedUntil.Sub(now), 0)
}

// remember takes in a claim that this entry has made.
func (k *claimHistory) remember(now time.Time, key string, r claim.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropExpired(now)
	k.claims = append(k.claims, recentClaim{key, r, now})
}

// dropExpired drops what is old. The mutex is held.
func (k *claimHistory) dropExpired(now time.Time) {
	drop := max(len(k.claims)-maxRecentClaims, 0)
	for drop < len(k.claims) && now.Sub(k.claims[drop].madeAt) > claimRetention {
		drop++
	}
	k.claims = k.claims[drop:]
}

// Era is the platform's as this entry knows it; zero where it isn't told.
func (e *Entry) Era() history.Era { return max(e.store.Era(), e.claimHistory.knownEra()) }

// observeEra takes in the platform's era as the platform or a peer told it.
func (e *Entry) observeEra(era history.Era) {
	lost := e.claimHistory.observeEra(e.now(), era)
	if len(lost) == 0 {
		return
	}
	_ = level.Warn(e.logger).Log("msg", "the platform was restored from a copy", "era", era, "claims_written_again", len(lost))
	e.spawn(func(ctx context.Context) { e.rewriteClaims(ctx, lost) })
}

// rewriteClaims writes claims that the platform may have lost.
func (e *Entry) rewriteClaims(ctx context.Context, lost []recentClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimCleanupTimeout)
	defer cancel()
	for _, c := range lost {
		text, _ := json.Marshal(c.record)
		// One that is there stays as it is, whoever's it is.
		for _, err := e.claims.Swap(ctx, c.key, text, 0); err != nil; _, err = e.claims.Swap(ctx, c.key, text, 0) {
			if !pause(ctx, jitter(claimAttemptDelay)) {
				_ = level.Error(e.logger).Log("msg", "claim not written again", "key", c.key, "err", err)
				return
			}
		}
	}
}
