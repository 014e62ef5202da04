// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// TestSiteStart has hosts that start together read the origin few times, know all of
// their zone within two seconds, and few of them stand in the directory.
func TestSiteStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const zones, perZone = 4, 10
		s := newSite(zones, perZone, true)
		ctx, cancel := context.WithCancel(t.Context())
		s.startAll(ctx)
		time.Sleep(2 * time.Second)
		for _, f := range s.hosts {
			is.Equal(f.versionInForce(), Version(1))
			is.Equal(f.peers.liveHostsInZone(time.Now()), perZone)
			is.True(f.ContactAge(time.Now()) <= maxOriginProofAge)
			is.Equal(len(f.fleet.Available(time.Now(), "llm")), 2)
		}
		is.True(s.origin.reads.Load() <= 6) // the three that others join, and who found these too late
		time.Sleep(10 * time.Second)
		listed := 0
		for _, entries := range s.entries {
			if entries.Load() > 0 {
				listed++
			}
		}
		is.Equal(listed, zones*directoryHostsPerZone)
		is.True(s.origin.watches.Load() < zones*perZone) // one host watches, a second at a time, once all know each other
		cancel()
		synctest.Wait()
	})
}

// TestJoin has a host that starts in a running site take everything over from a peer,
// without a call to the origin, and watch from there when its peers are gone.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, 3, false)
		late := s.hosts["10.2.0.3:1"]
		ctx, cancel := context.WithCancel(t.Context())
		for _, f := range s.hosts {
			if f != late {
				s.start(ctx, f)
			}
		}
		time.Sleep(3 * time.Second)
		reads := s.origin.reads.Load()
		s.start(ctx, late)
		time.Sleep(50 * time.Millisecond)
		is.True(late.Ready())
		is.Equal(len(late.fleet.Available(time.Now(), "llm")), 2)
		time.Sleep(time.Second)
		is.Equal(late.peers.liveHostsInZone(time.Now()), 3)
		is.Equal(s.origin.reads.Load(), reads)
		watches := s.origin.watches.Load()
		s.lose(s.others("10.2.0.3:1")...)
		time.Sleep(5 * time.Second)
		is.Equal(s.origin.reads.Load(), reads) // it had all up to a revision
		is.True(s.origin.watches.Load() > watches)
		is.True(late.OriginAge(time.Now()) <= maxOriginProofAge)
		cancel()
		synctest.Wait()
	})
}

// TestJoinWithoutPeers has a host that finds no peer read the origin after a short time.
func TestJoinWithoutPeers(t *testing.T) {
	for name, c := range map[string]struct {
		first bool
		host  string
		after time.Duration
	}{
		"restarted":                   {false, "10.2.0.3:1", defaultJoinTimeout},
		"first start":                 {true, "10.2.0.3:1", firstStartJoinTimeout},
		"first start, others join it": {true, "10.2.0.1:1", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(2, 3, c.first)
				f := s.hosts[c.host]
				s.lose(s.others(c.host)...)
				ctx, cancel := context.WithCancel(t.Context())
				s.start(ctx, f)
				if c.after > 0 {
					time.Sleep(c.after - time.Millisecond)
					is.True(!f.Ready())
				}
				time.Sleep(joinCheckInterval + time.Millisecond)
				is.True(f.Ready())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestOutageEnds has hosts that lost the origin with everybody else be told by one that
// has it again what they missed: they don't all read it.
func TestOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const zones, perZone = 3, 8
		s := newSite(zones, perZone, true)
		ctx, cancel := context.WithCancel(t.Context())
		s.startAll(ctx)
		time.Sleep(3 * time.Second)
		s.origin.lost.Store(true)
		time.Sleep(8 * time.Second)
		s.origin.lost.Store(false)
		// Who was about to ask asks; the others are told within half a second.
		time.Sleep(3 * time.Second)
		reads := s.origin.reads.Load()
		time.Sleep(6 * time.Second)
		is.Equal(s.origin.reads.Load(), reads)
		for _, f := range s.hosts {
			if !f.listKnown(time.Now()) {
				t.Log(f.peers.self, f.OriginAge(time.Now()), f.followedPeerAnsweredAt.age(time.Now()), f.ContactAge(time.Now()))
			}
			is.True(f.listKnown(time.Now()))
			is.True(f.ContactAge(time.Now()) <= maxOriginProofAge+time.Second)
		}
		cancel()
		synctest.Wait()
	})
}

// TestDirectoryConnectsSeparateHosts has hosts of a zone that don't know of each other each stand in
// the directory, by which they come to know.
func TestDirectoryConnectsSeparateHosts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := New(Settings{Self: Peer{ID: "h5", Zone: "z1"}}, &fakeTransport{}, silentJournal{}, silentObserver{})
	is.True(f.peers.isAmongFirstOfZone(now, directoryHostsPerZone)) // as far as it knows
	for _, id := range []member.HostID{"h1", "h2", "h3"} {
		f.peers.recordShare(now, Share{From: Peer{ID: id, Zone: "z1"}})
	}
	f.peers.recordShare(now, Share{From: Peer{ID: "a", Zone: "z2"}})
	is.True(!f.peers.isAmongFirstOfZone(now, directoryHostsPerZone))
	f.peers.recordShare(now, Share{From: Peer{ID: "h1", Zone: "z1"}, Stopping: true})
	f.peers.recordShare(now, Share{From: Peer{ID: "h2", Zone: "z1"}, Stopping: true})
	is.True(f.peers.isAmongFirstOfZone(now, directoryHostsPerZone))
	is.True(f.peers.isAmongFirstOfZone(now.Add(sameCellSilenceTimeout+time.Second), directoryHostsPerZone)) // they went silent
}

// TestGoneHostsAreForgotten has a host that died be forgotten by all: those who knew it
// don't tell each other of it in a circle.
func TestGoneHostsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, 3, true)
		ctx, cancel := context.WithCancel(t.Context())
		for address, f := range s.hosts {
			if address != "10.1.0.2:1" {
				s.start(ctx, f)
			}
		}
		dying, kill := context.WithCancel(t.Context())
		s.start(dying, s.hosts["10.1.0.2:1"])
		time.Sleep(3 * time.Second)
		for _, f := range s.hosts {
			is.True(f.peers.self.ID == "z1-h02" || f.peers.isKnown("z1-h02"))
		}
		kill()
		s.lose("10.1.0.2:1")
		time.Sleep(2*peerForgetTimeout + 2*time.Second)
		for _, f := range s.hosts {
			is.True(!f.peers.isKnown("z1-h02"))
		}
		cancel()
		synctest.Wait()
	})
}

// TestListAfterForgetting has a host that was cut off for long be told the whole list
// by one that doesn't remember all that was dropped meanwhile.
func TestListAfterForgetting(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var leader, late Fleet
	list := []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 2, false), llmUpstream("c", 3, false)}
	leader.Replace(now, list, rev(3))
	late.Replace(now, list, rev(3))
	leader.Apply(now, []Change{{Upstream: Upstream{ID: "b", Revision: rev(4)}, Gone: true}, {Upstream: llmUpstream("c", 5, true)}}, rev(5))
	_, _, whole := leader.ChangesSince(rev(3))
	is.True(!whole) // all is remembered
	leader.Settle(now.Add(goneRetention + time.Second))
	_, _, whole = leader.ChangesSince(rev(4))
	is.True(!whole)
	changes, at, whole := leader.ChangesSince(rev(3))
	is.True(whole)
	late.ReplaceFromPeer(now, changes, at)
	is.Equal(availableIDs(&late, now), map[member.UpstreamID]bool{"a": true})
	is.Equal(late.Missing(), []member.UpstreamID{"b"}) // its entry may just have run out
	late.Settle(now.Add(listSettleTime + time.Second))
	<-late.LeavingStarted("b")
	is.Equal(late.Revision(), rev(5))

	// A host that read the list anew never knew what came and went in between.
	leader.Replace(now, list[:1], rev(9))
	_, _, whole = leader.ChangesSince(rev(7))
	is.True(whole)
	_, _, whole = leader.ChangesSince(rev(5))
	is.True(!whole)
	_, _, whole = leader.ChangesSince(rev(9))
	is.True(!whole)
}

// TestPlacementIsSharedAtOnce has the hosts of a zone hear of a new run before any time has
// passed.
func TestPlacementIsSharedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1, 3, true)
		ctx, cancel := context.WithCancel(t.Context())
		s.startAll(ctx)
		time.Sleep(3100 * time.Millisecond)
		teller, hearer := s.hosts["10.1.0.1:1"], s.hosts["10.1.0.2:1"]
		teller.updatePlacementEngines(time.Now(), teller.Table())
		hearer.updatePlacementEngines(time.Now(), hearer.Table())
		now := time.Now()
		u, run, _ := teller.engines.place(ctx, now, "llm", policy.Request{Run: "r", Prompt: 100})
		teller.shareRunChange(u)
		synctest.Wait()
		is.Equal(time.Now(), now)
		is.Equal(hearer.engines.enginesWithRuns(), []member.UpstreamID{run.engine})
		cancel()
		synctest.Wait()
	})
}

// TestRunsAreSharedWithEngineZone has the hosts of an engine's zone hear at once of a run that
// a host of another zone placed there, and that it has ended.
func TestRunsAreSharedWithEngineZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, 2, true)
		s.origin.list = []Upstream{upstreamInZone("llm1", "z1"), upstreamInZone("llm2", "z2")}
		ctx, cancel := context.WithCancel(t.Context())
		s.startAll(ctx)
		time.Sleep(3100 * time.Millisecond)
		teller := s.hosts["10.1.0.1:1"]
		for _, f := range s.hosts {
			f.updatePlacementEngines(time.Now(), f.Table())
		}
		far, _ := teller.fleet.Upstream("llm2")
		_, run, _, ok := teller.engines.placeAt(time.Now(), "llm", policy.Request{Run: "r", Prompt: 100}, PlacementGrant{Engine: far.ID})
		is.True(ok)
		busy := func() bool {
			return len(s.hosts["10.2.0.1:1"].engines.enginesWithRuns())+len(s.hosts["10.2.0.2:1"].engines.enginesWithRuns()) == 2
		}
		teller.shareRunChange(far)
		synctest.Wait()
		is.True(busy())
		teller.engines.finish(time.Now(), "llm", run, true)
		teller.shareRunChange(far)
		time.Sleep(2 * minShareInterval)
		is.True(!busy())
		cancel()
		synctest.Wait()
	})
}

// TestStartDuringOriginOutage has a host that starts while the origin is away serve by what its
// peers know, bound by what they have acknowledged, and claim no proof by that.
func TestStartDuringOriginOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, 3, false)
		s.origin.list = []Upstream{upstreamInZone("llm1", "z1"), upstreamInZone("llm2", "z2"), upstreamInZone("llm3", "z2")}
		late := s.hosts["10.2.0.3:1"]
		ctx, cancel := context.WithCancel(t.Context())
		for _, f := range s.hosts {
			if f != late {
				s.start(ctx, f)
			}
		}
		time.Sleep(3 * time.Second)
		leaving := Change{Upstream: upstreamInZone("llm3", "z2")}
		leaving.Leaving, leaving.Revision = true, rev(20)
		s.origin.publish(leaving)
		s.origin.order(outOfService("z1", 21))
		time.Sleep(time.Second)
		s.origin.lost.Store(true)
		time.Sleep(10 * time.Second)
		is.True(!late.Ready()) // it knows nothing
		s.start(ctx, late)
		time.Sleep(defaultJoinTimeout + 100*time.Millisecond)
		is.True(late.Ready())
		is.Equal(late.versionInForce(), Version(1))
		is.Equal(availableIDs(late.fleet, time.Now()), map[member.UpstreamID]bool{"llm2": true})
		is.True(late.OriginAge(time.Now()) > maxOriginProofAge)
		is.True(!late.listKnown(time.Now()))
		s.origin.lost.Store(false)
		s.origin.order(backInService("z1", 22))
		time.Sleep(6 * time.Second)
		is.Equal(availableIDs(late.fleet, time.Now()), map[member.UpstreamID]bool{"llm1": true, "llm2": true})
		is.True(late.OriginAge(time.Now()) <= maxOriginProofAge)
		cancel()
		synctest.Wait()
	})
}

// TestNotReadyWithoutUpstreams has a host that knows no upstream say that it isn't ready,
// and that it is as soon as it knows one.
func TestNotReadyWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	f := New(Settings{}, &fakeTransport{}, silentJournal{}, silentObserver{})
	f.Configure(time.Now(), testConfig(1))
	is.True(!f.Ready())
	f.fleet.Replace(time.Now(), []Upstream{llmUpstream("llm1", 1, false)}, rev(1))
	is.True(f.Ready())
}
