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
	// claimsRemembered is for how long an entry remembers its claims; a copy is some seconds old.
	claimsRemembered = time.Minute
	// claimsSettle is how long after a restore no new claims are made: heartbeats take the era to
	// all entries within three seconds.
	claimsSettle = 5 * time.Second
	// claimsMost bounds how many are remembered: what the platform takes within a minute.
	claimsMost = 8192
)

// claimKeeper remembers what this entry has claimed, and since when claims are safe. The zero value
// works.
type claimKeeper struct {
	mu sync.Mutex
	// era is the newest that was told.
	era history.Era
	// heldUntil is until when no claim may be made.
	heldUntil time.Time
	// made are this entry's claims, in the order of their times.
	made []madeClaim
}

type madeClaim struct {
	key    string
	record claim.Record
	at     time.Time
}

// observeEra takes in that an era was told, and returns the claims that have to be written again because
// it is a new one.
func (k *claimKeeper) observeEra(now time.Time, era history.Era) []madeClaim {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era <= k.era {
		return nil
	}
	first := k.era == 0
	k.era = era
	if first {
		return nil
	}
	k.heldUntil = now.Add(claimsSettle)
	k.forget(now)
	return append([]madeClaim(nil), k.made...)
}

func (k *claimKeeper) knownEra() history.Era {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}

// heldFor is how much longer no claim may be made.
func (k *claimKeeper) heldFor(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.heldUntil.Sub(now), 0)
}

// remember takes in a claim that this entry has made.
func (k *claimKeeper) remember(now time.Time, key string, r claim.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget(now)
	k.made = append(k.made, madeClaim{key, r, now})
}

// forget drops what is old. The mutex is held.
func (k *claimKeeper) forget(now time.Time) {
	drop := max(len(k.made)-claimsMost, 0)
	for drop < len(k.made) && now.Sub(k.made[drop].at) > claimsRemembered {
		drop++
	}
	k.made = k.made[drop:]
}

// Era is the platform's as this entry knows it; zero where it isn't told.
func (e *Entry) Era() history.Era { return max(e.store.Era(), e.claimed.knownEra()) }

// observeEra takes in the platform's era as the platform or a peer told it.
func (e *Entry) observeEra(era history.Era) {
	lost := e.claimed.observeEra(e.now(), era)
	if len(lost) == 0 {
		return
	}
	_ = level.Warn(e.logger).Log("msg", "the platform was restored from a copy", "era", era, "claims_written_again", len(lost))
	e.spawn(func(ctx context.Context) { e.rewriteClaims(ctx, lost) })
}

// rewriteClaims writes claims that the platform may have lost.
func (e *Entry) rewriteClaims(ctx context.Context, lost []madeClaim) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, c := range lost {
		text, _ := json.Marshal(c.record)
		// One that is there stays as it is, whoever's it is.
		for _, err := e.claims.Swap(ctx, c.key, text, 0); err != nil; _, err = e.claims.Swap(ctx, c.key, text, 0) {
			if !pause(ctx, jitter(claimPause)) {
				_ = level.Error(e.logger).Log("msg", "claim not written again", "key", c.key, "err", err)
				return
			}
		}
	}
}
