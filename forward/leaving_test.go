// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/history"
	"github.com/shedpath/shedpath/member"
)

// Guards against requests that reach upstreams after these have reported that they leave, from
// hosts that have no fault of their own.
//
// The list's changes used to come in one message with the configuration, half a megabyte on
// one link. While configurations came in quick succession, a host on a narrow link received
// each message later than the call's timeout, gave up and asked the next peer, which sent it
// again, while the abandoned message still occupied the link. Until the series ended, such a
// host learned of no upstream that leaves.

// TestLeavingNotDelayedByConfigurations checks that every host learns within half of the drain
// time that an upstream leaves, while configurations come faster than the links can carry
// them.
func TestLeavingNotDelayedByConfigurations(t *testing.T) {
	const drain = 2 * time.Second
	for _, transferTime := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(transferTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(3, 4, true)
				ctx, cancel := context.WithCancel(t.Context())
				s.startAll(ctx)
				time.Sleep(4 * time.Second)
				s.setConfigTransferTime(transferTime)
				for n := range 60 {
					s.origin.configure(Version(2+n), rev(20+n))
					if n == 30 {
						s.origin.publish(Change{Upstream: llmUpstream("llm1", 20+30, true)})
					}
					if n == 30+int(drain/2/(100*time.Millisecond)) {
						for _, f := range s.hosts {
							is.Equal(availableIDs(f.fleet, time.Now()), map[member.UpstreamID]bool{"llm2": true}) // llm1 leaves and may get no requests
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(3*transferTime + time.Second)
				for _, f := range s.hosts {
					is.Equal(f.versionInForce(), Version(61)) // the newest version arrives soon after a long series
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestLeavingNotDelayedByFrozenHosts checks that every running host learns within three
// quarters of the drain time that an upstream leaves, whichever hosts are frozen.
func TestLeavingNotDelayedByFrozenHosts(t *testing.T) {
	const drain = 2 * time.Second
	for _, frozen := range [][]string{
		{},
		{"10.1.0.1:1"},
		{"10.1.0.1:1", "10.1.0.2:1"},
		{"10.1.0.1:1", "10.2.0.1:1", "10.3.0.1:1"},
		{"10.1.0.1:1", "10.1.0.2:1", "10.2.0.1:1", "10.2.0.2:1"},
	} {
		t.Run(fmt.Sprint(frozen), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(3, 4, true)
				ctx, cancel := context.WithCancel(t.Context())
				s.startAll(ctx)
				time.Sleep(4 * time.Second)
				s.freeze(frozen...)
				time.Sleep(time.Millisecond)
				s.origin.publish(Change{Upstream: llmUpstream("llm1", 20, true)})
				time.Sleep(drain * 3 / 4)
				for address, f := range s.hosts {
					if !s.frozen[address] {
						is.Equal(availableIDs(f.fleet, time.Now()), map[member.UpstreamID]bool{"llm2": true})
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestListReadInPages checks that the followers of a host that read the list in several pages
// get every change. A change to an item of an earlier page, made while a later page is read,
// has a lower revision than the newest item that was read.
//
// The reader used to take the newest revision of any item for the one up to which it knew
// everything, and its followers asked for changes after that. An upstream that reported that
// it leaves, or was dropped, between two pages stayed in their lists.
func TestListReadInPages(t *testing.T) {
	now := time.Now()
	list := []Upstream{llmUpstream("a", 1, false), llmUpstream("b", 2, false), llmUpstream("c", 3, false)}
	gone := func(id member.UpstreamID, at history.Revision) Change {
		return Change{Upstream: Upstream{ID: id, Revision: rev(at)}, Gone: true}
	}
	for name, c := range map[string]struct {
		// readItems are the items that the read returned, whose first page is of revision 10.
		// watchChanges are the changes that a watch from that revision returned.
		readItems    []Upstream
		watchChanges []Change
		// followedTo is the revision up to which the follower knew the list before the read.
		followedTo history.Point
		want       map[member.UpstreamID]bool
	}{
		"left after its page was read": {
			[]Upstream{llmUpstream("a", 1, false), llmUpstream("b", 14, false), llmUpstream("c", 3, false)},
			[]Change{{Upstream: llmUpstream("a", 12, true)}, {Upstream: llmUpstream("b", 14, false)}},
			rev(3),
			map[member.UpstreamID]bool{"b": true, "c": true},
		},
		"dropped after its page was read": {
			[]Upstream{llmUpstream("a", 1, false), llmUpstream("b", 14, false), llmUpstream("c", 3, false)},
			[]Change{gone("a", 12), {Upstream: llmUpstream("b", 14, false)}},
			rev(3),
			map[member.UpstreamID]bool{"b": true, "c": true},
		},
		"dropped before its page was read": {
			[]Upstream{llmUpstream("a", 1, false), llmUpstream("b", 2, false)},
			[]Change{gone("c", 11)},
			rev(10),
			map[member.UpstreamID]bool{"a": true, "b": true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var reader, follower Fleet
			reader.Replace(now, list, rev(3))
			follower.Replace(now, list, c.followedTo)
			catchUp := func() {
				changes, at, whole := reader.ChangesSince(follower.Revision())
				if whole {
					follower.ReplaceFromPeer(now, changes, at)
					return
				}
				follower.Apply(now, changes, at)
			}
			reader.Replace(now, c.readItems, rev(10))
			catchUp()
			reader.Apply(now, c.watchChanges, c.watchChanges[len(c.watchChanges)-1].Revision)
			catchUp()
			is.Equal(availableIDs(&follower, now), c.want)
			is.Equal(follower.Revision(), reader.Revision())
		})
	}
}
