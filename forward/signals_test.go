// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
)

// TestSignalOfOldIncarnation checks that the signals in a response from before a restart are
// ignored for the new incarnation.
func TestSignalOfOldIncarnation(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	old, _ := f.fleet.Upstream("app1")
	old.Incarnation, old.Revision = 1, rev(2)
	f.fleet.Apply(time.Now(), []Change{{Upstream: old}}, rev(2))
	next := old
	next.Incarnation, next.Revision = 2, rev(3)
	f.fleet.Apply(time.Now(), []Change{{Upstream: next}}, rev(3))
	f.applySignals(time.Now(), old, answerToRequest, Signals{Leaving: true, RetryAfter: time.Minute, FromUpstream: true})
	u, _ := f.fleet.Upstream("app1")
	is.True(!u.Leaving)
	is.Equal(f.backoffs.Delay(time.Now(), "app1"), time.Duration(0))
	f.applySignals(time.Now(), next, answerToRequest, Signals{Leaving: true, RetryAfter: time.Minute, FromUpstream: true})
	u, _ = f.fleet.Upstream("app1")
	is.True(u.Leaving)
	is.True(f.backoffs.Delay(time.Now(), "app1") > 0)
}

// TestConcurrentSendsOfQuarantineTrial checks that the trial of a quarantined request is sent
// whichever of its concurrent sends is checked first.
func TestConcurrentSendsOfQuarantineTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &fakeTransport{})
		x := &exchange{Forwarder: f, call: call("/status/")}
		for _, id := range []string{"e1", "e2", "e3"} {
			x.crashes.RecordCrash(f.now(), x.requestIdentity(), x.fingerprint(), quarantine.Origin{}, quarantine.Upstream{ID: member.UpstreamID(id)})
		}
		is.True(x.mustHoldBack(f.now()))
		time.Sleep(2 * time.Minute)
		var sends sync.WaitGroup
		for range 8 {
			sends.Go(func() { is.True(!x.mustHoldBack(f.now())) })
		}
		sends.Wait()
	})
}

// TestBackoffsDoNotFloodPeers checks that hosts report many backoffs to each other in few
// shares.
func TestBackoffsDoNotFloodPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newCrashSiteWith(newFakeFleet(), 3, 3, 60)
		s.serveAll(ctx)
		time.Sleep(siteSettleTime)
		callsIn := func(play func()) (shares, follows int64) {
			beforeShares, beforeFollows := s.shareCalls.Load(), s.followCalls.Load()
			play()
			return s.shareCalls.Load() - beforeShares, s.followCalls.Load() - beforeFollows
		}
		quiet, quietFollows := callsIn(func() { time.Sleep(3 * time.Second) })
		busy, busyFollows := callsIn(func() {
			for n := range 60 {
				for _, f := range s.hosts {
					u, _ := f.fleet.Upstream(member.UpstreamID(fmt.Sprintf("app%02d", n)))
					f.applySignals(time.Now(), u, answerToRequest, Signals{RetryAfter: 100 * time.Millisecond, FromUpstream: true})
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		t.Logf("in 3 s %d shares and %d follow requests; with 60 backoffs at each host %d and %d", quiet, quietFollows, busy, busyFollows)
		// Each host notifies all others immediately at most once a second.
		hosts := int64(len(s.hosts))
		if most := quiet + 4*hosts*(hosts-1); busy > most {
			t.Errorf("%d shares during the backoffs, %d without; want at most %d", busy, quiet, most)
		}
		// Followers get nothing from backoffs. The number of follow requests in a window
		// varies.
		if busyFollows > 2*quietFollows {
			t.Errorf("%d follow requests during the backoffs, %d without; want at most twice as many", busyFollows, quietFollows)
		}
		cancel()
		synctest.Wait()
	})
}
