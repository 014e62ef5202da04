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

// RunState describes one of a host's runs to its peers.
type RunState struct {
	Run     policy.RunID
	Service ServiceName
	Engine  member.UpstreamID
	// Life is the engine's life to which the run belongs.
	Life Incarnation
	// Route and Account are what the length of the answer is predicted from.
	Route   resource.Name
	Account resource.Account
	// Prompt is the length of the prompt, Made what was generated so far, and Limit the bound
	// of the answer's length.
	Prompt policy.Tokens
	Made   policy.Tokens
	Limit  policy.Tokens
	// FirstTokenAge is how long ago the run's first token came; zero before.
	FirstTokenAge time.Duration
}

// EndedRun describes to the peers a run whose answer is complete. A single host among many sees
// too few answers to learn how long they get.
type EndedRun struct {
	Run policy.RunID
	// Made is the answer's length.
	Made policy.Tokens
	// endedAt is when the run ended; it isn't sent.
	endedAt time.Time
}

// endedRunTTL is how long an ended run is reported. Within that time each peer of the zone gets
// a report from this host at least once, and it learns from a run when that is no longer listed.
const endedRunTTL = 2 * shareInterval

// endedRuns returns the runs that were completed within endedRunTTL.
func (e *enginePlacer) endedRuns(now time.Time) []EndedRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recentlyEnded = slices.DeleteFunc(e.recentlyEnded, func(r EndedRun) bool { return now.Sub(r.endedAt) > endedRunTTL })
	return slices.Clone(e.recentlyEnded)
}

// firstTokenAt is when the run's first token came; zero before.
func (s RunState) firstTokenAt(now time.Time) time.Time {
	if s.FirstTokenAge <= 0 {
		return time.Time{}
	}
	return now.Add(-s.FirstTokenAge)
}

// runStates returns this host's runs.
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

// forgetUnknownPeers drops the runs and report times of peers that are no longer known.
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

// maxReportAge is how old a peer's last report may be for its runs to count as known: new runs
// arrive, and prompts are read, within about a second.
const maxReportAge = time.Second

// updateKnownParts tells the placement, for each zone, which part of the zone's hosts have
// reported their runs recently.
func (e *enginePlacer) updateKnownParts(now time.Time, zoneOf map[member.HostID]member.Zone) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts, reported := map[member.Zone]int{}, map[member.Zone]int{}
	for host, zone := range zoneOf {
		hosts[zone]++
		if at, ever := e.lastReported[host]; ever && now.Sub(at) <= maxReportAge {
			reported[zone]++
		}
	}
	for _, p := range e.pools {
		for zone, n := range hosts {
			p.pool.SetZoneCoverage(zone, float64(reported[zone])/float64(n))
		}
	}
}

// replacePeerRuns replaces what is known of a peer's runs by its report, and learns from those
// that ended.
func (e *enginePlacer) replacePeerRuns(now time.Time, host member.HostID, states []RunState, ended []EndedRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReported[host] = now
	listed := make(map[policy.RunID]RunState, len(states))
	for _, s := range states {
		listed[s.Run] = s
	}
	lengths := endedLengths(ended)
	for _, p := range e.pools {
		for id, owner := range p.peerRuns {
			if owner != host {
				continue
			}
			s, stillListed := listed[id]
			if stillListed && p.pool.EngineOf(id) == s.Engine {
				delete(p.unconfirmedGrants, id)
				continue
			}
			if _, isGranted := p.unconfirmedGrants[id]; isGranted {
				// The peer sent this report before it learned of the place.
				continue
			}
			p.dropPeerRun(now, id, lengths)
		}
	}
	for _, s := range listed {
		e.updatePeerRun(now, host, s)
	}
}

// mergePeerRuns applies changes of a peer's runs to what is known of them, and learns from those whose
// answers are complete.
func (e *enginePlacer) mergePeerRuns(now time.Time, host member.HostID, changed []RunState, gone []policy.RunID, ended []EndedRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReported[host] = now
	lengths := endedLengths(ended)
	for _, p := range e.pools {
		for _, id := range gone {
			if p.peerRuns[id] == host {
				p.dropPeerRun(now, id, lengths)
			}
		}
		for _, s := range changed {
			if p.peerRuns[s.Run] == host && p.pool.EngineOf(s.Run) != s.Engine {
				p.dropPeerRun(now, s.Run, lengths)
			}
			delete(p.unconfirmedGrants, s.Run)
		}
	}
	for _, s := range changed {
		e.updatePeerRun(now, host, s)
	}
}

// endedLengths returns the length of each answer that is complete.
func endedLengths(ended []EndedRun) map[policy.RunID]policy.Tokens {
	lengths := make(map[policy.RunID]policy.Tokens, len(ended))
	for _, r := range ended {
		lengths[r.Run] = r.Made
	}
	return lengths
}

// dropPeerRun frees the place of a peer's run, and learns from it if its length is known. The placer's mutex
// is held.
func (p *enginePool) dropPeerRun(now time.Time, id policy.RunID, lengths map[policy.RunID]policy.Tokens) {
	delete(p.peerRuns, id)
	made, whole := lengths[id]
	p.pool.Finish(now, policy.Finish{Run: id, GeneratedTokens: made, Complete: whole})
}

// updatePeerRun records the state of a peer's run. The mutex is held.
func (e *enginePlacer) updatePeerRun(now time.Time, host member.HostID, s RunState) {
	p := e.pools[s.Service]
	if p == nil || p.ownRuns[s.Run] != nil || p.poolEngines[s.Engine].Incarnation.newerThan(s.Life) {
		// The run is this host's by now, or its engine has restarted since.
		return
	}
	if _, known := p.peerRuns[s.Run]; known {
		p.pool.Progress(now, s.Run, s.Made)
		p.pool.UpdatePrefill(now, s.Run, s.firstTokenAt(now))
		return
	}
	p.peerRuns[s.Run] = host
	p.pool.Adopt(now, policy.Request{Run: s.Run, Route: s.Route, Account: s.Account, PromptTokens: s.Prompt, MaxOutputTokens: s.Limit}, s.Engine, s.Made)
}
