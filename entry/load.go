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
	loadEvery       = 250 * time.Millisecond
	loadTimeout     = time.Second
	loadConcurrency = 64
	// cacheEvery is in how many rounds the cache events are asked for, too:
	// they are hints that come late anyway, and each call costs the same.
	cacheEvery = 4
)

// runLoadReports asks the engines that this entry coordinates how they are.
func (e *Entry) runLoadReports(ctx context.Context) {
	seen := map[member.UpstreamID]uint64{}
	for n := 0; ; n++ {
		for _, name := range e.config.Catalog().PoolNames() {
			if e.members.Coordinator(e.now(), name).ID == e.self.ID {
				e.askLoads(ctx, name, seen, n%cacheEvery == 0)
			}
		}
		if !pause(ctx, jitter(e.settings.LoadInterval)) {
			return
		}
	}
}

// loadRound is what one round of reports brought.
type loadRound struct {
	// withCache asks for the cache events, too.
	withCache bool

	mu      sync.Mutex
	reports []policy.Report
	silent  []member.UpstreamID
	// models are the versions that each engine serves.
	models map[member.UpstreamID]map[string]string
	cache  map[member.UpstreamID][]policy.CacheEvent
}

// askLoads asks every engine of a pool that this zone decides about. seen holds
// the last cache event had from each.
func (e *Entry) askLoads(ctx context.Context, name resource.Name, seen map[member.UpstreamID]uint64, withCache bool) {
	round := loadRound{
		withCache: withCache, cache: map[member.UpstreamID][]policy.CacheEvent{},
		models: map[member.UpstreamID]map[string]string{},
	}
	workers := pool.New().WithMaxGoroutines(loadConcurrency)
	for _, u := range e.members.enginesFor(e.now(), name) {
		after := seen[u.ID]
		workers.Go(func() { e.askLoad(ctx, u, after, &round) })
	}
	workers.Wait()
	for engine, events := range round.cache {
		if len(events) > 0 {
			seen[engine] = events[len(events)-1].Seq
		}
	}
	e.placement.applyReports(ctx, name, round.reports, round.cache)
	e.placement.markSuspect(ctx, name, round.silent)
	// Engines are emptied before their models change.
	e.placement.withhold(ctx, name, order.EnginesToDrain(wantedModels(e.Catalog(), name), round.models))
}

func (e *Entry) askLoad(ctx context.Context, u member.Upstream, after uint64, round *loadRound) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := e.engines.Load(ctx, u)
	if err != nil {
		round.mu.Lock()
		defer round.mu.Unlock()
		round.silent = append(round.silent, u.ID)
		return
	}
	if load.Leaving {
		e.members.MarkLeaving(u.ID)
	}
	var events []policy.CacheEvent
	if round.withCache {
		// Hints that can't be had are done without.
		events, _ = e.engines.CacheEvents(ctx, u, after)
	}
	round.mu.Lock()
	defer round.mu.Unlock()
	load.Engine = u.ID
	e.observer.EngineLoad(resource.Name(u.Pool), load)
	round.reports = append(round.reports, load.Report)
	round.models[u.ID] = load.Models
	round.cache[u.ID] = events
}
