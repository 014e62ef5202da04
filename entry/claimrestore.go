// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/shedpath/shedpath/claim"
	"github.com/shedpath/shedpath/history"
)

// A platform that was restored from an older copy has lost the newest claims, and may hold claims
// again that had been removed. Each entry repairs its own recent claims and reports to its peers while it
// does. No entry makes new claims until every entry has had time to learn of the restore, and until
// no repair is unfinished.

const (
	// repairReportInterval is how often an entry reports to its peers that its repair is unfinished.
	repairReportInterval = time.Second
	// joinRetryDelay is the delay before a starting entry asks its peers again.
	joinRetryDelay = 200 * time.Millisecond
	// claimRepairConcurrency bounds the claims of one entry that are repaired at once.
	claimRepairConcurrency = 16
)

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
	_ = level.Warn(e.logger).Log("msg", "the platform was restored from a copy", "era", era, "claims_written_again", len(claims))
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		var reports conc.WaitGroup
		reports.Go(func() { e.reportRepair(ctx) })
		e.repairClaims(ctx, claims)
		e.claimHistory.repairEnds(e.now())
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

// reportRepair reports to all peers that this entry's repair is unfinished, until the context ends.
func (e *Entry) reportRepair(ctx context.Context) {
	for {
		e.exchangeRepairStates(ctx)
		if !sleepContext(ctx, jitter(repairReportInterval)) {
			return
		}
	}
}

// exchangeRepairStates sends all peers the state of this entry's repair, and records theirs. It
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
					_ = level.Error(e.logger).Log("msg", "claim not written again", "key", c.key, "err", err)
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
