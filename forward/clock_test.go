// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
)

// withClockJump returns a moment as a host sees it whose time of day has withClockJump: the steady
// clock's reading in it stays as it was.
func withClockJump(at time.Time, by time.Duration) time.Time {
	// A time.Time that has a steady reading holds its seconds of the day from bit 30
	// of its first word on.
	const secondsFrom = 30
	wall := (*uint64)(unsafe.Pointer(&at))
	*wall += uint64(int64(by/time.Second) << secondsFrom)
	return at
}

// TestWithClockJump holds the helper to what it says.
func TestWithClockJump(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		is := is.New(t)
		at := time.Now()
		is.Equal(withClockJump(at, by).Sub(at), time.Duration(0))               // the steady clock didn't move
		is.Equal(withClockJump(at, by).Unix()-at.Unix(), int64(by/time.Second)) // the time of day did
	}
}

// TestProofsAcrossClockJump has each proof of a host age by the steady clock when the
// time of day goes an hour ahead, back again and behind: a host that is cut off then
// knows that it is.
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
			func(f *Forwarder, now time.Time) { f.suspectList(now) },
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

// TestCutOffAfterClockJump has a host that is cut off after a jump refuse what it
// can't prove, as it would without.
func TestCutOffAfterClockJump(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	start := time.Now()
	f.ContactProved(withClockJump(start, time.Hour))
	f.ContactProved(start)
	cutOff := &exchange{Forwarder: f, call: call("/nowhere/")}
	refusal := cutOff.refuseUnknown(start.Add(10*time.Second), CodeNoRoute)
	is.Equal(refusal.Code, CodeNotReady) // and not that there is no such route
	is.True(!f.listKnown(start.Add(10 * time.Second)))
}

// TestRetryBudgetAcrossClockJump has the window of repeats go on sliding when the time
// of day jumps: what was spent stays spent, and comes back when the window is over.
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
			is.Equal(spend(withClockJump(start.Add(2*time.Second), jump)), 0) // the window isn't over
			is.Equal(spend(start.Add(4*time.Second)), 0)
			is.Equal(spend(withClockJump(start.Add(12*time.Second), jump)), all) // now it is
			is.Equal(spend(start.Add(24*time.Second)), all)
		})
	}
}

// TestNegativeProofAge has a peer that tells proofs from the future not be relied on.
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
