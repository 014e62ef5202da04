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
	// roundsPerCachePoll is the number of load polls for each poll of the cache events. Cache
	// events are only hints that are late anyway, and each poll of them costs as much as one of the
	// load.
	roundsPerCachePoll = 4
)

// runLoadReports polls the load of the engines in the pools that this entry coordinates.
func (e *Entry) runLoadReports(ctx context.Context) {
	lastSeqs := map[member.UpstreamID]uint64{}
	for round := 0; ; round++ {
		for _, name := range e.config.Catalog().PoolNames() {
			if e.members.Coordinator(e.now(), name).ID == e.self.ID {
				e.pollLoads(ctx, name, lastSeqs, round%roundsPerCachePoll == 0)
			}
		}
		if !sleepContext(ctx, jitter(e.settings.LoadInterval)) {
			return
		}
	}
}

// loadRound collects the results of one poll of a pool's engines.
type loadRound struct {
	// withCacheEvents tells whether the cache events are polled too.
	withCacheEvents bool

	mu      sync.Mutex
	reports []policy.Report
	// unresponsive lists the engines that didn't answer.
	unresponsive []member.UpstreamID
	// models maps each engine to the versions of the models that it serves.
	models      map[member.UpstreamID]map[string]string
	cacheEvents map[member.UpstreamID][]policy.CacheEvent
}

// pollLoads polls all engines of a pool that are placed from this zone. lastSeqs holds the sequence
// number of the last cache event received from each engine.
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
	// Engines are drained before their models change.
	e.placement.withhold(ctx, name, order.EnginesToDrain(wantedModels(e.Catalog(), name), round.models))
}

// pollLoad polls one engine and adds the result to the round.
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
		// Cache events are only hints, so an error is ignored.
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
