// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
	"github.com/shedpath/shedpath/resource"
)

// RunState is what a host tells its peers of one of its runs.
type RunState struct {
	Run     policy.RunID
	Service ServiceName
	Engine  member.UpstreamID
	// Life is the engine's that the run is in.
	Life Incarnation
	// Route and Account are what the length of its answer is foreseen by.
	Route   resource.Name
	Account resource.Account
	Prompt  policy.Tokens
	Made    policy.Tokens
	Limit   policy.Tokens
	// FirstTokenAge is how long ago its first token came; zero while it has none.
	FirstTokenAge time.Duration
}

// EndedRun is what a host tells its peers of a run whose answer ended by itself: each of
// many hosts sees too few answers to know how long they get.
type EndedRun struct {
	Run policy.RunID
	// Made is the answer's length.
	Made policy.Tokens
	// endedAt is when it ended; it isn't told.
	endedAt time.Time
}

// endedRunTTL is how long an ended run is told: each peer of the zone hears from this host
// once meanwhile, and learns from a run when it is no longer listed.
const endedRunTTL = 2 * shareInterval

// endedRuns lists the runs that ended by themselves lately.
func (e *enginePlacer) endedRuns(now time.Time) []EndedRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recentlyEnded = slices.DeleteFunc(e.recentlyEnded, func(r EndedRun) bool { return now.Sub(r.endedAt) > endedRunTTL })
	return slices.Clone(e.recentlyEnded)
}

// firstTokenAt is when the run's firstTokenAt token came; zero while it has none.
func (s RunState) firstTokenAt(now time.Time) time.Time {
	if s.FirstTokenAge <= 0 {
		return time.Time{}
	}
	return now.Add(-s.FirstTokenAge)
}

// runStates lists this host's runs.
func (e *enginePlacer) runStates(now time.Time) []RunState {
	e.mu.Lock()
	defer e.mu.Unlock()
	var states []RunState
	for service, p := range e.pools {
		for id, run := range p.ownRuns {
			state := RunState{
				Run: id, Service: service, Engine: run.engine, Life: run.incarnation, Route: run.request.Route, Account: run.request.Account,
				Prompt: run.request.PromptTokens, Made: policy.Tokens(run.generatedTokens.Load()), Limit: run.request.MaxOutputTokens,
			}
			if !run.firstTokenAt.IsZero() {
				state.FirstTokenAge = max(now.Sub(run.firstTokenAt), 1)
			}
			states = append(states, state)
		}
	}
	return states
}

// forgetUnknownPeers drops the runs of peers that aren't known any more.
func (e *enginePlacer) forgetUnknownPeers(now time.Time, isKnown func(member.HostID) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		for id, host := range p.peerRuns {
			if !isKnown(host) {
				delete(p.peerRuns, id)
				p.pool.Finish(now, policy.Finish{Run: id})
			}
		}
	}
	for host := range e.lastReported {
		if !isKnown(host) {
			delete(e.lastReported, host)
		}
	}
}

// maxReportAge is how recent a peer's word of its runs must be for them to be known: new
// runs come and prompts are read within about a second.
const maxReportAge = time.Second

// updateKnownParts takes in how much of each zone's runs this host knows.
func (e *enginePlacer) updateKnownParts(now time.Time, zoneOf map[member.HostID]member.Zone) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts, told := map[member.Zone]int{}, map[member.Zone]int{}
	for host, zone := range zoneOf {
		hosts[zone]++
		if at, ever := e.lastReported[host]; ever && now.Sub(at) <= maxReportAge {
			told[zone]++
		}
	}
	for _, p := range e.pools {
		for zone, n := range hosts {
			p.pool.SetZoneCoverage(zone, float64(told[zone])/float64(n))
		}
	}
}

// replacePeerRuns replaces what is known of a peer's runs, and learns from those that ended.
func (e *enginePlacer) replacePeerRuns(now time.Time, host member.HostID, states []RunState, ended []EndedRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReported[host] = now
	listed := make(map[policy.RunID]RunState, len(states))
	for _, s := range states {
		listed[s.Run] = s
	}
	lengths := make(map[policy.RunID]policy.Tokens, len(ended))
	for _, r := range ended {
		lengths[r.Run] = r.Made
	}
	for _, p := range e.pools {
		for id, of := range p.peerRuns {
			if of != host {
				continue
			}
			s, still := listed[id]
			if still && p.pool.EngineOf(id) == s.Engine {
				delete(p.unconfirmedGrants, id)
				continue
			}
			if _, isGranted := p.unconfirmedGrants[id]; isGranted {
				// The share was on its way when the place was given.
				continue
			}
			delete(p.peerRuns, id)
			made, whole := lengths[id]
			p.pool.Finish(now, policy.Finish{Run: id, GeneratedTokens: made, Complete: whole})
		}
	}
	for id, s := range listed {
		p := e.pools[s.Service]
		if p == nil || p.ownRuns[id] != nil || p.poolEngines[s.Engine].Incarnation.newerThan(s.Life) {
			// It is this host's by now, or of a life of its engine that is over.
			continue
		}
		if _, known := p.peerRuns[id]; known {
			p.pool.Progress(now, id, s.Made)
			p.pool.UpdatePrefill(now, id, s.firstTokenAt(now))
			continue
		}
		p.peerRuns[id] = host
		p.pool.Adopt(now, policy.Request{Run: id, Route: s.Route, Account: s.Account, PromptTokens: s.Prompt, MaxOutputTokens: s.Limit}, s.Engine, s.Made)
	}
}
