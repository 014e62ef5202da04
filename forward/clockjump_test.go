// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
)

// withClockJump returns a time as a host sees it whose wall clock has jumped. The monotonic reading
// stays as it was.
func withClockJump(at time.Time, by time.Duration) time.Time {
	// A time.Time with a monotonic reading holds its wall seconds from bit 30 of its first word on.
	const secondsFrom = 30
	wall := (*uint64)(unsafe.Pointer(&at))
	*wall += uint64(int64(by/time.Second) << secondsFrom)
	return at
}

// TestWithClockJump checks that withClockJump moves the wall clock and not the monotonic clock.
func TestWithClockJump(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		is := is.New(t)
		at := time.Now()
		is.Equal(withClockJump(at, by).Sub(at), time.Duration(0))               // the monotonic clock didn't move
		is.Equal(withClockJump(at, by).Unix()-at.Unix(), int64(by/time.Second)) // the wall clock did
	}
}

// TestProofsAcrossClockJump checks that each proof of a host ages by the monotonic clock when the wall
// clock jumps an hour ahead or back and returns. Otherwise a host that is cut off after the jump takes
// its proofs for fresh.
func TestProofsAcrossClockJump(t *testing.T) {
	const bound, later = 3 * time.Second, 30 * time.Second
	proofs := map[string]struct {
		prove func(f *Forwarder, now time.Time)
		age   func(f *Forwarder, now time.Time) time.Duration
	}{
		"configuration": {
			func(f *Forwarder, now time.Time) { f.ContactProved(now) },
			func(f *Forwarder, now time.Time) time.Duration { return f.ContactAge(now) },
		},
		"list": {
			func(f *Forwarder, now time.Time) { f.originProvedAt.advance(now) },
			func(f *Forwarder, now time.Time) time.Duration { return f.OriginAge(now) },
		},
		"followed": {
			func(f *Forwarder, now time.Time) { f.followedPeerAnsweredAt.advance(now) },
			func(f *Forwarder, now time.Time) time.Duration { return f.followedPeerAnsweredAt.age(now) },
		},
		"doubt": {
			func(f *Forwarder, now time.Time) { f.markListSuspect(now) },
			func(f *Forwarder, now time.Time) time.Duration { return f.listSuspectedAt.age(now) },
		},
	}
	for name, p := range proofs {
		for _, jump := range []time.Duration{time.Hour, -time.Hour} {
			t.Run(name+" "+jump.String(), func(t *testing.T) {
				is := is.New(t)
				f := newForwarder(t, &fakeTransport{})
				start := time.Now()
				p.prove(f, withClockJump(start.Add(time.Second), jump))
				p.prove(f, start.Add(2*time.Second)) // the jump is over
				is.Equal(p.age(f, start.Add(2*time.Second+bound)), bound)
				is.Equal(p.age(f, start.Add(2*time.Second+later)), later)
				is.Equal(p.age(f, withClockJump(start.Add(2*time.Second+later), -jump)), later)
			})
		}
	}
}

// TestCutOffAfterClockJump checks that a host that is cut off after a clock jump doesn't claim what it
// can't prove, as without a jump.
func TestCutOffAfterClockJump(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	start := time.Now()
	f.ContactProved(withClockJump(start, time.Hour))
	f.ContactProved(start)
	cutOffRequest := &exchange{Forwarder: f, call: call("/nowhere/")}
	refusal := cutOffRequest.refuseUnknown(start.Add(10*time.Second), CodeNoRoute)
	is.Equal(refusal.Code, CodeNotReady) // not CodeNoRoute: the host can't prove that the route doesn't exist
	is.True(!f.isListCurrent(start.Add(10 * time.Second)))
}

// TestRetryBudgetAcrossClockJump checks that the retry window goes on sliding when the wall clock
// jumps: what was spent stays spent, and becomes available again when the window is over.
func TestRetryBudgetAcrossClockJump(t *testing.T) {
	for name, jump := range map[string]time.Duration{"ahead": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := retryBudget{}
			b.setLimit(RetryLimit{Slack: 10, Window: 10 * time.Second})
			b.setHosts(1)
			start := time.Now()
			spend := func(now time.Time) int {
				spent := 0
				for b.takeRetry(now, "app") {
					spent++
				}
				return spent
			}
			all := spend(start)
			is.True(all > 0)
			is.Equal(spend(withClockJump(start.Add(2*time.Second), jump)), 0) // the window isn't over yet
			is.Equal(spend(start.Add(4*time.Second)), 0)
			is.Equal(spend(withClockJump(start.Add(12*time.Second), jump)), all) // the window is over
			is.Equal(spend(start.Add(24*time.Second)), all)
		})
	}
}

// TestNegativeProofAge checks that a host doesn't rely on a peer that reports proofs of a negative age.
func TestNegativeProofAge(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	f.contactProvedAt.clear()
	f.receiveShare(Share{From: Peer{ID: "h9", Zone: "z1"}, Version: 1, ConfigAge: -time.Hour, OriginAge: -time.Hour})
	is.Equal(f.ContactAge(time.Now()), noProofAge)
	_, found := f.peers.leader(time.Now(), true)
	is.True(!found)
	peers := &fakeFollowedPeer{}
	peers.originAge.Store(int64(-time.Hour))
	f.peerTransport = peers
	is.True(!f.followPeer(t.Context(), Peer{ID: "h9"}, zoneBounds))
}
