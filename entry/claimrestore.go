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

// A platform that was restored from an older copy has lost the newest claims. Each entry writes its
// own recent claims again, and makes no new ones until every entry has had time to do so.

const (
	// claimRetention is how long an entry remembers its claims. A copy that the platform is
	// restored from is some seconds old.
	claimRetention = time.Minute
	// restoreSettleTime is how long no new claims are made after a restore. Heartbeats carry the
	// new era to all entries within three seconds.
	restoreSettleTime = 5 * time.Second
	// maxRecentClaims bounds the number of remembered claims. The platform accepts no more than
	// that within a minute.
	maxRecentClaims = 8192
)

// claimHistory holds this entry's recent claims, and how long a restore of the platform blocks new
// ones. The zero value is ready to use. Its methods may be called concurrently.
type claimHistory struct {
	mu sync.Mutex
	// newestEra is the newest era that the platform or a peer has reported; zero for none.
	newestEra history.Era
	// blockedUntil is the end of the time in which no claim may be made.
	blockedUntil time.Time
	// claims are this entry's recent claims, oldest first.
	claims []recentClaim
}

// recentClaim is a claim that this entry made, kept to be written again after a restore.
type recentClaim struct {
	key    string
	record claim.Record
	madeAt time.Time
}

// observeEra records a reported era. If it is newer than a known one, the platform was restored:
// observeEra blocks new claims for restoreSettleTime and returns the claims to write again.
func (k *claimHistory) observeEra(now time.Time, era history.Era) []recentClaim {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era <= k.newestEra {
		return nil
	}
	isFirst := k.newestEra == 0
	k.newestEra = era
	if isFirst {
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

// blockedFor returns how much longer no claim may be made; zero if claims may be made now.
func (k *claimHistory) blockedFor(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.blockedUntil.Sub(now), 0)
}

// remember records a claim that this entry has made.
func (k *claimHistory) remember(now time.Time, key string, r claim.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropExpired(now)
	k.claims = append(k.claims, recentClaim{key, r, now})
}

// dropExpired drops claims older than claimRetention, and the oldest beyond maxRecentClaims. The
// caller holds the mutex.
func (k *claimHistory) dropExpired(now time.Time) {
	expired := max(len(k.claims)-maxRecentClaims, 0)
	for expired < len(k.claims) && now.Sub(k.claims[expired].madeAt) > claimRetention {
		expired++
	}
	k.claims = k.claims[expired:]
}

// Era returns the newest platform era that this entry knows from the platform or from peers; zero
// if none was reported.
func (e *Entry) Era() history.Era { return max(e.store.Era(), e.claimHistory.knownEra()) }

// observeEra records a platform era that the platform or a peer reported, and starts writing this
// entry's recent claims again if the era shows a restore.
func (e *Entry) observeEra(era history.Era) {
	claims := e.claimHistory.observeEra(e.now(), era)
	if len(claims) == 0 {
		return
	}
	_ = level.Warn(e.logger).Log("msg", "the platform was restored from a copy", "era", era, "claims_written_again", len(claims))
	e.spawn(func(ctx context.Context) { e.rewriteClaims(ctx, claims) })
}

// rewriteClaims writes claims again that the platform may have lost.
func (e *Entry) rewriteClaims(ctx context.Context, claims []recentClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimCleanupTimeout)
	defer cancel()
	for _, c := range claims {
		text, _ := json.Marshal(c.record)
		// Version 0 writes only if the key is absent: an existing claim stays, whoever made it.
		for _, err := e.claims.Swap(ctx, c.key, text, 0); err != nil; _, err = e.claims.Swap(ctx, c.key, text, 0) {
			if !sleepContext(ctx, jitter(claimAttemptDelay)) {
				_ = level.Error(e.logger).Log("msg", "claim not written again", "key", c.key, "err", err)
				return
			}
		}
	}
}
