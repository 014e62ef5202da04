// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"sync"
	"time"

	"github.com/shedpath/shedpath/claim"
	"github.com/shedpath/shedpath/history"
)

const (
	// claimRetention is how long an entry remembers its claims. A copy that the platform is
	// restored from is some seconds old.
	claimRetention = time.Minute
	// restoreSettleTime is how long no new claims are made after a restore. Heartbeats carry the
	// new era to all entries within three seconds.
	restoreSettleTime = 5 * time.Second
	// peerRepairTimeout is how long a peer's report of an unfinished repair blocks new claims. It
	// outlasts the loss of one report.
	peerRepairTimeout = 3 * time.Second
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
	// joining reports whether newestEra is the first era that this entry has seen, and may have
	// begun just before: claims are blocked until all peers have finished their repairs.
	joining bool
	// peerRepairsUntil is the end of the time in which no claim may be made because of a peer's
	// unfinished repair.
	peerRepairsUntil time.Time
	// repairs is the number of repairs under way.
	repairs int
	// claims are this entry's recent claims, in the order of writtenAt.
	claims []*recentClaim
}

// recentClaim is a claim that this entry made, kept to be repaired after a restore. The fields
// below key are guarded by the mutex of the claimHistory.
type recentClaim struct {
	key    string
	record claim.Record
	// released reports whether the call was not sent and the claim is to be removed.
	released bool
	// writtenAt is when the claim was made or, if later, when its last repair ended. A copy that the platform is
	// restored from may be from before that.
	writtenAt time.Time
}

// observeEra records a reported era. If it is newer than a known one, the platform was restored:
// observeEra blocks new claims for restoreSettleTime and returns the claims to repair; if there are
// any, the caller has to call repairEnds later. The first era blocks new claims until joined is
// called, for as long at most.
func (k *claimHistory) observeEra(now time.Time, era history.Era) (repair []*recentClaim, isFirst bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if era <= k.newestEra {
		return nil, false
	}
	isFirst = k.newestEra == 0
	k.newestEra, k.joining = era, isFirst
	k.blockedUntil = now.Add(restoreSettleTime)
	if isFirst {
		return nil, true
	}
	k.dropExpired(now)
	if len(k.claims) == 0 {
		return nil, false
	}
	k.repairs++
	return append([]*recentClaim(nil), k.claims...), false
}

// isJoining reports whether claims are blocked because this entry has seen no earlier era.
func (k *claimHistory) isJoining(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.joining && now.Before(k.blockedUntil)
}

// joined records that all peers have finished their repairs since this entry saw its first era.
func (k *claimHistory) joined() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.joining {
		k.joining, k.blockedUntil = false, time.Time{}
	}
}

func (k *claimHistory) knownEra() history.Era {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newestEra
}

// repairEnds records that a repair that observeEra asked for has ended.
func (k *claimHistory) repairEnds(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.repairs--
	for _, c := range k.claims {
		c.writtenAt = now
	}
}

// repairState returns the state of this entry's repair for peers.
func (k *claimHistory) repairState() ClaimRepair {
	k.mu.Lock()
	defer k.mu.Unlock()
	return ClaimRepair{Era: k.newestEra, Unfinished: k.repairs > 0}
}

// peerRepairs records that a peer hasn't finished its repair.
func (k *claimHistory) peerRepairs(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if until := now.Add(peerRepairTimeout); until.After(k.peerRepairsUntil) {
		k.peerRepairsUntil = until
	}
}

// blockedFor returns how much longer no claim may be made; zero if claims may be made now.
func (k *claimHistory) blockedFor(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.remainingBlock(now)
}

// remainingBlock is blockedFor for callers that hold the mutex.
func (k *claimHistory) remainingBlock(now time.Time) time.Duration {
	remaining := max(k.blockedUntil.Sub(now), k.peerRepairsUntil.Sub(now), 0)
	if k.repairs > 0 {
		remaining = max(remaining, claimRetryAfter)
	}
	return remaining
}

// hold records a claim that this entry has made, unless new claims are blocked. A claim that is
// held is part of every later repair.
func (k *claimHistory) hold(now time.Time, key string, r claim.Record) (c *recentClaim, blocked time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if blocked = k.remainingBlock(now); blocked > 0 {
		return nil, blocked
	}
	return k.add(now, key, r), 0
}

// add records a claim. The caller holds the mutex.
func (k *claimHistory) add(now time.Time, key string, r claim.Record) *recentClaim {
	k.dropExpired(now)
	c := &recentClaim{key: key, record: r, writtenAt: now}
	k.claims = append(k.claims, c)
	return c
}

// addReleased records a claim that may have been made and is to be removed.
func (k *claimHistory) addReleased(now time.Time, key string, r claim.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.add(now, key, r).released = true
}

// release marks a claim whose call was not sent.
func (k *claimHistory) release(c *recentClaim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.released = true
}

// setStatus records the status of the upstream's answer to the claimed call.
func (k *claimHistory) setStatus(c *recentClaim, status int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.record.Status = status
}

// state returns the record of a claim, and whether the claim was released.
func (k *claimHistory) state(c *recentClaim) (r claim.Record, released bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.record, c.released
}

// dropExpired drops claims older than claimRetention, unless a repair may not have written them yet, and the oldest
// beyond maxRecentClaims. The caller holds the mutex.
func (k *claimHistory) dropExpired(now time.Time) {
	expired := max(len(k.claims)-maxRecentClaims, 0)
	for k.repairs == 0 && expired < len(k.claims) && now.Sub(k.claims[expired].writtenAt) > claimRetention {
		expired++
	}
	k.claims = k.claims[expired:]
}
