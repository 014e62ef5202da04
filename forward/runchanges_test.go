// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// runCountingPeers answers shares and counts the runs in them.
type runCountingPeers struct {
	Peers
	mergeRuns bool

	mu   sync.Mutex
	runs int
}

func (p *runCountingPeers) Share(_ context.Context, to Peer, s Share) (Share, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs += len(s.Runs) + len(s.GoneRuns)
	return Share{From: to, Epoch: 1, MergesRuns: p.mergeRuns}, nil
}

// reset returns the number of runs since the last reset.
func (p *runCountingPeers) reset() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := p.runs
	p.runs = 0
	return runs
}

// TestSharesOfBusyHostLeaveRoomOnItsLink guards against a host whose shares about its runs fill its link while it
// serves most requests of a zone.
func TestSharesOfBusyHostLeaveRoomOnItsLink(t *testing.T) {
	const (
		peers, perSecond, lasts = 27, 20, 6 * time.Second
		wireRunBytes            = 80
		linkBytesPerSecond      = 10e6 / 8
	)
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(t, &fakeTransport{})
		f.updatePlacementEngines(time.Now(), f.Table())
		for n := range peers {
			f.peers.recordShare(time.Now(), Share{From: Peer{ID: member.HostID(fmt.Sprint("p", n)), Zone: f.peers.self.Zone, PeerAddress: fmt.Sprint("p", n)}})
		}
		counted := &runCountingPeers{mergeRuns: true}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.RunPeers(ctx, counted)
		u := Upstream{ID: "llm1", Service: "llm"}
		pool := f.engines.pools["llm"]
		place := func(n int) {
			f.engines.mu.Lock()
			run := pool.addOwnRun(policy.Request{Run: policy.RunID(fmt.Sprint("r", n)), PromptTokens: 10}, u.ID)
			f.engines.mu.Unlock()
			f.shareRunChange(u)
			time.AfterFunc(lasts, func() {
				f.engines.finish(time.Now(), "llm", run, true)
				f.shareRunChange(u)
			})
		}
		for n := range 6 * perSecond {
			place(n)
			time.Sleep(time.Second / perSecond)
		}
		counted.reset()
		const seconds = 4
		for n := range seconds * perSecond {
			place(1000 + n)
			time.Sleep(time.Second / perSecond)
		}
		if use := float64(counted.reset()) * wireRunBytes / seconds / linkBytesPerSecond; use > 0.2 {
			t.Errorf("shares take %.2f of the link, expected at most 0.2", use)
		}
	})
}

// lossyPeer passes shares on to a host, and loses some of them or of their replies.
type lossyPeer struct {
	Peers
	to                   *Forwarder
	loseShare, loseReply bool
}

func (p *lossyPeer) Share(_ context.Context, _ Peer, s Share) (Share, error) {
	if p.loseShare {
		return Share{}, errors.New("the share was lost")
	}
	s.snapshot = nil
	reply := p.to.OnShare(s)
	if p.loseReply {
		return Share{}, errors.New("the reply was lost")
	}
	return reply, nil
}

// TestRunChangesAddUp guards against peers that miss a run, or keep one that is gone, when shares have changes only.
func TestRunChangesAddUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is, now := is.New(t), time.Now()
		from, to := newForwarder(t, &fakeTransport{}), newForwarder(t, &fakeTransport{})
		from.peers.self.ID, to.peers.self.ID = "from", "to"
		from.updatePlacementEngines(now, from.Table())
		to.updatePlacementEngines(now, to.Table())
		peer := &lossyPeer{to: to}
		from.peers.recordShare(now, Share{From: to.peers.self})
		pool := from.engines.pools["llm"]
		placed := 0
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			runs := slices.Sorted(maps.Keys(pool.ownRuns))
			switch rapid.SampledFrom([]string{"place", "place", "finish", "move", "begin", "restart", "share", "share", "share"}).Draw(r, "step") {
			case "place":
				placed++
				pool.addOwnRun(policy.Request{Run: policy.RunID(fmt.Sprint("r", placed)), PromptTokens: 10}, "llm1")
			case "finish":
				if len(runs) > 0 {
					from.engines.finish(now, "llm", pool.ownRuns[rapid.SampledFrom(runs).Draw(r, "run")], true)
				}
			case "move":
				if len(runs) > 0 {
					pool.ownRuns[rapid.SampledFrom(runs).Draw(r, "run")].engine = "llm2"
				}
			case "begin":
				if len(runs) > 0 {
					pool.ownRuns[rapid.SampledFrom(runs).Draw(r, "run")].firstTokenAt = now
				}
			case "restart":
				peer.to = newForwarder(t, &fakeTransport{})
				peer.to.peers.self.ID = "to"
				peer.to.updatePlacementEngines(now, peer.to.Table())
			case "share":
				peer.loseShare, peer.loseReply = rapid.IntRange(0, 4).Draw(r, "lost share") == 0, rapid.IntRange(0, 4).Draw(r, "lost reply") == 0
				before := from.peers.known["to"].runs.epoch
				share := from.newShare(now)
				from.peers.limitRuns(now, "to", &share, rapid.Bool().Draw(r, "periodic"))
				changesOnly := share.RunChangesOnly
				from.shareWith(t.Context(), peer, to.peers.self, share)
				if peer.loseShare || peer.loseReply || changesOnly && before != peer.to.peers.epoch {
					continue // the next share has all runs
				}
				known := map[policy.RunID]member.UpstreamID{}
				received := peer.to.engines.pools["llm"]
				for id := range received.peerRuns {
					known[id] = received.pool.EngineOf(id)
				}
				expected := map[policy.RunID]member.UpstreamID{}
				for id, run := range pool.ownRuns {
					expected[id] = run.engine
				}
				is.Equal(known, expected)
			}
		}
	})
}
