// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

const (
	// maxRunsInEachShare is the number of runs up to which each periodic share has all of them.
	maxRunsInEachShare = 16
	// allRunsInterval is how often a host with more runs than that sends all of them to a peer. In between
	// it sends the changes, as the cost of shares grows with the runs, with their changes and with the peers.
	allRunsInterval = 4 * shareInterval
)

// runSnapshot is a host's runs at the time of a share.
type runSnapshot struct {
	runs   []RunState
	places map[policy.RunID]runPlace
}

// runPlace is the part of a run's state that is shared at once when it changes.
type runPlace struct {
	engine member.UpstreamID
	life   Incarnation
	begun  bool
}

func newRunSnapshot(runs []RunState) *runSnapshot {
	s := &runSnapshot{runs: runs, places: make(map[policy.RunID]runPlace, len(runs))}
	for _, r := range runs {
		s.places[r.Run] = r.place()
	}
	return s
}

func (s RunState) place() runPlace {
	return runPlace{engine: s.Engine, life: s.Life, begun: s.FirstTokenAge > 0}
}

// changesSince returns the runs that were placed, were moved or have begun since an earlier snapshot, and
// those that are gone.
func (s *runSnapshot) changesSince(earlier *runSnapshot) (changed []RunState, gone []policy.RunID) {
	for _, r := range s.runs {
		if place, known := earlier.places[r.Run]; !known || place != r.place() {
			changed = append(changed, r)
		}
	}
	for id := range earlier.places {
		if _, goesOn := s.places[id]; !goesOn {
			gone = append(gone, id)
		}
	}
	return changed, gone
}

// sharedRuns is the state of one peer's knowledge of this host's runs.
type sharedRuns struct {
	// confirmed are the runs of the last share that the peer answered; nil if the peer has to get all.
	confirmed *runSnapshot
	// epoch is the peer's epoch when it answered.
	epoch uint64
	// allSentAt is when the peer last got all runs.
	allSentAt time.Time
}

// needsAll reports whether the peer has to get all runs.
func (r *sharedRuns) needsAll(now time.Time, runs int, periodic bool) bool {
	return r.confirmed == nil || periodic && (runs <= maxRunsInEachShare || now.Sub(r.allSentAt) >= allRunsInterval)
}

// limitRuns leaves the runs out of a share that the peer knows.
func (p *peerSet) limitRuns(now time.Time, to member.HostID, share *Share, periodic bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil || !s.mergesRuns || s.runs.needsAll(now, len(share.Runs), periodic) {
		return
	}
	share.Runs, share.GoneRuns = share.snapshot.changesSince(s.runs.confirmed)
	share.RunChangesOnly = true
}

// recordRunsShared records how a share with runs ended.
func (p *peerSet) recordRunsShared(now time.Time, to member.HostID, share, reply *Share, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[to]
	if s == nil {
		return
	}
	if err != nil {
		// The peer may have received the share all the same, or may yet.
		s.runs = sharedRuns{}
		return
	}
	s.mergesRuns = reply.MergesRuns
	switch {
	case !share.RunChangesOnly:
		s.runs = sharedRuns{confirmed: share.snapshot, epoch: reply.Epoch, allSentAt: now}
	case s.runs.epoch != reply.Epoch:
		s.runs = sharedRuns{}
	default:
		s.runs.confirmed = share.snapshot
	}
}
