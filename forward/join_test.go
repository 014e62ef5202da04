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

// TestSiteStart checks that hosts that start together read the origin only a few times and know all
// hosts of their zone within two seconds, and that only a few of them enter the directory.
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
		is.True(s.origin.reads.Load() <= 6) // the three seed hosts, and those that found them too late
		time.Sleep(10 * time.Second)
		listed := 0
		for _, entries := range s.directoryWrites {
			if entries.Load() > 0 {
				listed++
			}
		}
		is.Equal(listed, zones*directoryHostsPerZone)
		is.True(s.origin.watches.Load() < zones*perZone) // only one host watches, one second per watch, once all hosts know each other
		cancel()
		synctest.Wait()
	})
}

// TestJoin checks that a host that starts in a running site takes over all state from a peer without a
// call to the origin, and watches the origin from that revision on when its peers are gone.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, 3, false)
		joiner := s.hosts["10.2.0.3:1"]
		ctx, cancel := context.WithCancel(t.Context())
		for _, f := range s.hosts {
			if f != joiner {
				s.start(ctx, f)
			}
		}
		time.Sleep(3 * time.Second)
		reads := s.origin.reads.Load()
		s.start(ctx, joiner)
		go joiner.Run(ctx)
		time.Sleep(50 * time.Millisecond)
		is.True(joiner.Ready())
		is.Equal(len(joiner.fleet.Available(time.Now(), "llm")), 2)
		time.Sleep(time.Second)
		is.Equal(joiner.peers.liveHostsInZone(time.Now()), 3)
		is.Equal(s.origin.reads.Load(), reads)
		watches := s.origin.watches.Load()
		s.makeUnreachable(s.otherAddresses("10.2.0.3:1")...)
		time.Sleep(5 * time.Second)
		is.Equal(s.origin.reads.Load(), reads) // the host has everything up to a revision, so it only watches
		is.True(s.origin.watches.Load() > watches)
		is.True(joiner.OriginAge(time.Now()) <= maxOriginProofAge)
		cancel()
		synctest.Wait()
	})
}

// TestJoinWithoutPeers checks that a host that finds no peer reads the origin after a short wait.
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
				s.makeUnreachable(s.otherAddresses(c.host)...)
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

// TestOutageEnds checks that hosts that all lost the origin receive what they missed from one that
// has it again, instead of all reading it.
func TestOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const zones, perZone = 3, 8
		s := newSite(zones, perZone, true)
		ctx, cancel := context.WithCancel(t.Context())
		s.startAll(ctx)
		time.Sleep(3 * time.Second)
		s.origin.unavailable.Store(true)
		time.Sleep(8 * time.Second)
		s.origin.unavailable.Store(false)
		// Hosts that are about to retry read the origin; the others receive the result from them
		// within half a second.
		time.Sleep(3 * time.Second)
		reads := s.origin.reads.Load()
		time.Sleep(6 * time.Second)
		is.Equal(s.origin.reads.Load(), reads)
		for _, f := range s.hosts {
			if !f.isListCurrent(time.Now()) {
				t.Log("list not known at host", f.peers.self, "origin age", f.OriginAge(time.Now()), "last followed", f.followedPeerAnsweredAt.age(time.Now()), "contact age", f.ContactAge(time.Now()))
			}
			is.True(f.isListCurrent(time.Now()))
			is.True(f.ContactAge(time.Now()) <= maxOriginProofAge+time.Second)
		}
		cancel()
		synctest.Wait()
	})
}

// TestDirectoryConnectsSeparateHosts checks that hosts of a zone that don't know each other each enter
// the directory, through which they learn of each other.
func TestDirectoryConnectsSeparateHosts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	f := New(Settings{Self: Peer{ID: "h5", Zone: "z1"}}, &fakeTransport{}, silentJournal{}, silentObserver{})
	is.True(f.peers.isAmongFirstOfZone(now, directoryHostsPerZone)) // it knows no other host
	for _, id := range []member.HostID{"h1", "h2", "h3"} {
		f.peers.recordShare(now, Share{From: Peer{ID: id, Zone: "z1"}})
	}
	f.peers.recordShare(now, Share{From: Peer{ID: "a", Zone: "z2"}})
	is.True(!f.peers.isAmongFirstOfZone(now, directoryHostsPerZone))
	f.peers.recordShare(now, Share{From: Peer{ID: "h1", Zone: "z1"}, Stopping: true})
	f.peers.recordShare(now, Share{From: Peer{ID: "h2", Zone: "z1"}, Stopping: true})
	is.True(f.peers.isAmongFirstOfZone(now, directoryHostsPerZone))
	is.True(f.peers.isAmongFirstOfZone(now.Add(sameCellSilenceTimeout+time.Second), directoryHostsPerZone)) // the others went silent
}

// TestGoneHostsAreForgotten checks that all hosts forget a host that died. It guards against hosts that
// keep a dead host known by announcing it to each other in a circle.
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
		s.makeUnreachable("10.1.0.2:1")
		time.Sleep(2*peerForgetTimeout + 2*time.Second)
		for _, f := range s.hosts {
			is.True(!f.peers.isKnown("z1-h02"))
		}
		cancel()
		synctest.Wait()
	})
}

// TestListAfterForgetting checks that a host that was cut off for long gets the whole list from a peer
// that no longer remembers everything that was dropped in the meantime.
func TestListAfterForgetting(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var leader, follower Fleet
	list := []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 2, false), llmUpstream("c", 3, false)}
	leader.Replace(now, list, rev(3))
	follower.Replace(now, list, rev(3))
	leader.Apply(now, []Change{{Upstream: Upstream{ID: "b", Revision: rev(4)}, Gone: true}, {Upstream: llmUpstream("c", 5, true)}}, rev(5))
	_, _, whole := leader.ChangesSince(rev(3))
	is.True(!whole) // the leader still remembers what was dropped
	leader.Settle(now.Add(goneRetention + time.Second))
	_, _, whole = leader.ChangesSince(rev(4))
	is.True(!whole)
	changes, at, whole := leader.ChangesSince(rev(3))
	is.True(whole)
	follower.ReplaceFromPeer(now, changes, at)
	is.Equal(availableIDs(&follower, now), map[member.UpstreamID]bool{"a": true})
	is.Equal(follower.Missing(), []member.UpstreamID{"b"}) // the entry of b may only have expired during an outage
	follower.Settle(now.Add(listSettleTime + time.Second))
	<-follower.LeavingStarted("b")
	is.Equal(follower.Revision(), rev(5))

	// The leader read the whole list again, and never knew what came and went in between.
	leader.Replace(now, list[:1], rev(9))
	_, _, whole = leader.ChangesSince(rev(7))
	is.True(whole)
	_, _, whole = leader.ChangesSince(rev(5))
	is.True(!whole)
	_, _, whole = leader.ChangesSince(rev(9))
	is.True(!whole)
}

// TestPlacementIsSharedAtOnce checks that the hosts of a zone learn of a new run without any delay.
func TestPlacementIsSharedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1, 3, true)
		ctx, cancel := context.WithCancel(t.Context())
		s.startAll(ctx)
		time.Sleep(3100 * time.Millisecond)
		sender, receiver := s.hosts["10.1.0.1:1"], s.hosts["10.1.0.2:1"]
		sender.updatePlacementEngines(time.Now(), sender.Table())
		receiver.updatePlacementEngines(time.Now(), receiver.Table())
		now := time.Now()
		u, run, _ := sender.engines.place(ctx, now, "llm", policy.Request{Run: "r", PromptTokens: 100})
		sender.shareRunChange(u)
		synctest.Wait()
		is.Equal(time.Now(), now)
		is.Equal(receiver.engines.enginesWithRuns(), []member.UpstreamID{run.engine})
		cancel()
		synctest.Wait()
	})
}

// TestRunsAreSharedWithEngineZone checks that the hosts of an engine's zone learn at once that a host of
// another zone has placed a run there, and that the run has ended.
func TestRunsAreSharedWithEngineZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, 2, true)
		s.origin.list = []Upstream{upstreamInZone("llm1", "z1"), upstreamInZone("llm2", "z2")}
		ctx, cancel := context.WithCancel(t.Context())
		s.startAll(ctx)
		time.Sleep(3100 * time.Millisecond)
		sender := s.hosts["10.1.0.1:1"]
		for _, f := range s.hosts {
			f.updatePlacementEngines(time.Now(), f.Table())
		}
		far, _ := sender.fleet.Upstream("llm2")
		_, run, _, ok := sender.engines.placeGranted(time.Now(), "llm", policy.Request{Run: "r", PromptTokens: 100}, PlacementGrant{Engine: far.ID})
		is.True(ok)
		busy := func() bool {
			return len(s.hosts["10.2.0.1:1"].engines.enginesWithRuns())+len(s.hosts["10.2.0.2:1"].engines.enginesWithRuns()) == 2
		}
		sender.shareRunChange(far)
		synctest.Wait()
		is.True(busy())
		sender.engines.finish(time.Now(), "llm", run, true)
		sender.shareRunChange(far)
		time.Sleep(2 * minShareInterval)
		is.True(!busy())
		cancel()
		synctest.Wait()
	})
}

// TestStartDuringOriginOutage checks that a host that starts during an outage of the origin serves by
// the state of its peers, keeps to what they have acknowledged, and doesn't take that state for a proof
// by the origin.
func TestStartDuringOriginOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2, 3, false)
		s.origin.list = []Upstream{upstreamInZone("llm1", "z1"), upstreamInZone("llm2", "z2"), upstreamInZone("llm3", "z2")}
		joiner := s.hosts["10.2.0.3:1"]
		ctx, cancel := context.WithCancel(t.Context())
		for _, f := range s.hosts {
			if f != joiner {
				s.start(ctx, f)
			}
		}
		time.Sleep(3 * time.Second)
		leaving := Change{Upstream: upstreamInZone("llm3", "z2")}
		leaving.Leaving, leaving.Revision = true, rev(20)
		s.origin.publish(leaving)
		s.origin.orderZones(outOfService("z1", 21))
		time.Sleep(time.Second)
		s.origin.unavailable.Store(true)
		time.Sleep(10 * time.Second)
		is.True(!joiner.Ready()) // it knows nothing
		s.start(ctx, joiner)
		go joiner.Run(ctx)
		time.Sleep(defaultJoinTimeout + 100*time.Millisecond)
		is.True(joiner.Ready())
		is.Equal(joiner.versionInForce(), Version(1))
		is.Equal(availableIDs(joiner.fleet, time.Now()), map[member.UpstreamID]bool{"llm2": true})
		is.True(joiner.OriginAge(time.Now()) > maxOriginProofAge)
		is.True(!joiner.isListCurrent(time.Now()))
		s.origin.unavailable.Store(false)
		s.origin.orderZones(backInService("z1", 22))
		time.Sleep(6 * time.Second)
		is.Equal(availableIDs(joiner.fleet, time.Now()), map[member.UpstreamID]bool{"llm1": true, "llm2": true})
		is.True(joiner.OriginAge(time.Now()) <= maxOriginProofAge)
		cancel()
		synctest.Wait()
	})
}

// TestNotReadyWithoutUpstreams checks that a host isn't ready while it knows no upstream or can't place
// a stream on it yet, and is ready as soon as it can. It guards against streams that are refused because
// the placement learned of the upstreams later than the callers learned that the host is ready.
func TestNotReadyWithoutUpstreams(t *testing.T) {
	is := is.New(t)
	f := New(Settings{}, &fakeTransport{}, silentJournal{}, silentObserver{})
	f.Configure(time.Now(), testConfig(1))
	is.True(!f.Ready())
	f.fleet.Replace(time.Now(), []Upstream{llmUpstream("llm1", 1, false)}, rev(1))
	place := func() policy.Decision {
		_, _, d := f.engines.place(t.Context(), time.Now(), "llm", policy.Request{Run: "r", PromptTokens: 100, Deadline: time.Now().Add(time.Minute)})
		return d
	}
	is.Equal(place().Reason, policy.ReasonNoEngine)
	is.True(!f.Ready())
	f.updatePlacementEngines(time.Now(), f.Table())
	is.True(f.Ready())
	is.Equal(place().Verdict, policy.Granted)
}
