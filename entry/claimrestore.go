// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/shedpath/shedpath/claim"
	"github.com/shedpath/shedpath/history"
)

// A platform that was restored from an older copy has lost the newest claims, and may hold claims
// again that had been removed. Each entry repairs its own recent claims and tells its peers while it
// does. No entry makes new claims until every entry has had time to learn of the restore, and until
// no repair is unfinished.

const (
	// claimRetention is how long an entry remembers its claims. A copy that the platform is
	// restored from is some seconds old.
	claimRetention = time.Minute
	// restoreSettleTime is how long no new claims are made after a restore. Heartbeats carry the
	// new era to all entries within three seconds.
	restoreSettleTime = 5 * time.Second
	// repairReportInterval is how often an entry reports to its peers that its repair is unfinished.
	repairReportInterval = time.Second
	// peerRepairTimeout is how long such a report blocks new claims. It outlasts the loss of one
	// report.
	peerRepairTimeout = 3 * time.Second
	// joinRetryDelay is the delay before a starting entry asks its peers again.
	joinRetryDelay = 200 * time.Millisecond
	// maxRecentClaims bounds the number of remembered claims. The platform accepts no more than
	// that within a minute.
	maxRecentClaims = 8192
	// claimRepairConcurrency bounds the claims of one entry that are repaired at once.
	claimRepairConcurrency = 16
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
	// writtenAt is when the claim was made or, if later, when its last repair began.
	writtenAt time.Time
}

// observeEra records a reported era. If it is newer than a known one, the platform was restored:
// observeEra blocks new claims for restoreSettleTime and returns the claims to repair. The first era
// blocks new claims until joined is called, for as long at most.
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
	for _, c := range k.claims {
		c.writtenAt = now
	}
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

// repairBegins and repairEnds enclose a repair of this entry's claims, during which it makes no new
// ones.
func (k *claimHistory) repairBegins() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.repairs++
}

func (k *claimHistory) repairEnds() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.repairs--
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

// dropExpired drops claims older than claimRetention, and the oldest beyond maxRecentClaims. The
// caller holds the mutex.
func (k *claimHistory) dropExpired(now time.Time) {
	expired := max(len(k.claims)-maxRecentClaims, 0)
	for expired < len(k.claims) && now.Sub(k.claims[expired].writtenAt) > claimRetention {
		expired++
	}
	k.claims = k.claims[expired:]
}

// Era returns the newest platform era that this entry knows from the platform or from peers; zero
// if none was reported.
func (e *Entry) Era() history.Era { return max(e.store.Era(), e.claimHistory.knownEra()) }

// observeEra records a platform era that the platform or a peer reported, and starts to repair this
// entry's recent claims if the era shows a restore.
func (e *Entry) observeEra(era history.Era) {
	claims, isFirst := e.claimHistory.observeEra(e.now(), era)
	if isFirst {
		e.spawn(e.joinClaims)
	}
	if len(claims) == 0 {
		return
	}
	_ = level.Warn(e.logger).Log("msg", "the platform was restored from a copy", "era", era, "claims_to_repair", len(claims))
	e.claimHistory.repairBegins()
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		var reports conc.WaitGroup
		reports.Go(func() { e.reportRepair(ctx) })
		e.repairClaims(ctx, claims)
		e.claimHistory.repairEnds()
		cancel()
		reports.Wait()
	})
}

// joinClaims lets this entry make claims as soon as all listed entries say that they aren't
// repairing theirs: the platform may have been restored just before this entry started.
func (e *Entry) joinClaims(ctx context.Context) {
	for e.claimHistory.isJoining(e.now()) {
		if e.members.hasHostList() && e.exchangeRepairStates(ctx) {
			e.claimHistory.joined()
			return
		}
		if !sleepContext(ctx, jitter(joinRetryDelay)) {
			return
		}
	}
}

// reportRepair tells all peers that this entry's repair is unfinished, until the context ends.
func (e *Entry) reportRepair(ctx context.Context) {
	for {
		e.exchangeRepairStates(ctx)
		if !sleepContext(ctx, jitter(repairReportInterval)) {
			return
		}
	}
}

// exchangeRepairStates tells all peers the state of this entry's repair, and records theirs. It
// reports whether all peers have answered and none has an unfinished repair.
func (e *Entry) exchangeRepairStates(ctx context.Context) bool {
	var pending atomic.Int64
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	workers := pool.New().WithMaxGoroutines(heartbeatConcurrency)
	for _, peer := range e.members.Peers() {
		workers.Go(func() {
			answer, err := e.peers.ClaimRepair(ctx, peer, e.claimHistory.repairState())
			if err != nil {
				// The caller tries again.
				pending.Add(1)
				return
			}
			if answer.Unfinished {
				pending.Add(1)
			}
			e.OnClaimRepair(e.now(), answer)
		})
	}
	workers.Wait()
	return pending.Load() == 0
}

// repairClaims repairs the claims after a restore, the newest first: their callers are the most
// likely to call again.
func (e *Entry) repairClaims(ctx context.Context, claims []*recentClaim) {
	workers := pool.New().WithMaxGoroutines(claimRepairConcurrency)
	for _, c := range slices.Backward(claims) {
		workers.Go(func() {
			for {
				done, err := e.repairClaim(ctx, c)
				if done {
					return
				}
				if err != nil && !sleepContext(ctx, jitter(claimAttemptDelay)) {
					_ = level.Error(e.logger).Log("msg", "claim not repaired", "key", c.key, "err", err)
					return
				}
			}
		})
	}
	workers.Wait()
}

// repairClaim takes one step to write a claim again, or to remove it if it was released. It reports
// whether the platform's state is right. It replaces a claim of another attempt: that attempt was
// released, or created its claim after the restore and will release it.
func (e *Entry) repairClaim(ctx context.Context, c *recentClaim) (done bool, err error) {
	record, released := e.claimHistory.state(c)
	if released {
		err := e.removeClaim(ctx, c.key, record.Claimant)
		return err == nil, err
	}
	item, err := e.claims.Get(ctx, c.key)
	if err != nil {
		return false, err
	}
	var stored claim.Record
	if item.Found() && json.Unmarshal(item.Value, &stored) == nil && stored.Claimant == record.Claimant {
		// The claim may have been released since its state was read.
		_, released = e.claimHistory.state(c)
		return !released, nil
	}
	text, _ := json.Marshal(record)
	// The next step reads what was written.
	_, err = e.claims.Swap(ctx, c.key, text, item.Version)
	return false, err
}
