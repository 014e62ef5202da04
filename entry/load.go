// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/order"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

const (
	loadInterval    = 250 * time.Millisecond
	loadTimeout     = time.Second
	loadConcurrency = 64
	// roundsPerCachePoll is in how many rounds the cache events are asked for, too:
	// they are hints that come late anyway, and each call costs the same.
	roundsPerCachePoll = 4
)

// runLoadReports asks the engines that this entry coordinates how they are.
func (e *Entry) runLoadReports(ctx context.Context) {
	lastSeqs := map[member.UpstreamID]uint64{}
	for round := 0; ; round++ {
		for _, name := range e.config.Catalog().PoolNames() {
			if e.members.Coordinator(e.now(), name).ID == e.self.ID {
				e.pollLoads(ctx, name, lastSeqs, round%roundsPerCachePoll == 0)
			}
		}
		if !pause(ctx, jitter(e.settings.LoadInterval)) {
			return
		}
	}
}

// loadRound is what one round of reports brought.
type loadRound struct {
	// withCacheEvents asks for the cache events, too.
	withCacheEvents bool

	mu           sync.Mutex
	reports      []policy.Report
	unresponsive []member.UpstreamID
	// models are the versions that each engine serves.
	models      map[member.UpstreamID]map[string]string
	cacheEvents map[member.UpstreamID][]policy.CacheEvent
}

// pollLoads asks every engine of a pool that this zone decides about. seen holds
// the last cache event had from each.
func (e *Entry) pollLoads(ctx context.Context, name resource.Name, lastSeqs map[member.UpstreamID]uint64, withCache bool) {
	round := loadRound{
		withCacheEvents: withCache, cacheEvents: map[member.UpstreamID][]policy.CacheEvent{},
		models: map[member.UpstreamID]map[string]string{},
	}
	workers := pool.New().WithMaxGoroutines(loadConcurrency)
	for _, u := range e.members.enginesFor(e.now(), name) {
		after := lastSeqs[u.ID]
		workers.Go(func() { e.pollLoad(ctx, u, after, &round) })
	}
	workers.Wait()
	for engine, events := range round.cacheEvents {
		if len(events) > 0 {
			lastSeqs[engine] = events[len(events)-1].Seq
		}
	}
	e.placement.applyReports(ctx, name, round.reports, round.cacheEvents)
	e.placement.markSuspect(ctx, name, round.unresponsive)
	// Engines are emptied before their models change.
	e.placement.withhold(ctx, name, order.EnginesToDrain(wantedModels(e.Catalog(), name), round.models))
}

func (e *Entry) pollLoad(ctx context.Context, u member.Upstream, after uint64, round *loadRound) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := e.engines.Load(ctx, u)
	if err != nil {
		round.mu.Lock()
		defer round.mu.Unlock()
		round.unresponsive = append(round.unresponsive, u.ID)
		return
	}
	if load.Leaving {
		e.members.MarkLeaving(u.ID)
	}
	var events []policy.CacheEvent
	if round.withCacheEvents {
		// Hints that can't be had are done without.
		events, _ = e.engines.CacheEvents(ctx, u, after)
	}
	round.mu.Lock()
	defer round.mu.Unlock()
	load.Engine = u.ID
	e.observer.EngineLoad(resource.Name(u.Pool), load)
	round.reports = append(round.reports, load.Report)
	round.models[u.ID] = load.Models
	round.cacheEvents[u.ID] = events
}
