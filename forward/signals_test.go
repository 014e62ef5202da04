// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/quarantine"
)

// TestSignalOfTheLifeBefore has an answer from before a restart say nothing of the new life.
func TestSignalOfTheLifeBefore(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, &fakeTransport{})
	old, _ := f.fleet.Upstream("app1")
	old.Life, old.Revision = 1, 2
	f.fleet.Apply(time.Now(), []Change{{Upstream: old}}, 2)
	next := old
	next.Life, next.Revision = 2, 3
	f.fleet.Apply(time.Now(), []Change{{Upstream: next}}, 3)
	f.takeSignals(time.Now(), old, answerToRequest, Signals{Leaving: true, RetryAfter: time.Minute, Own: true})
	u, _ := f.fleet.Upstream("app1")
	is.True(!u.Leaving)
	is.Equal(f.backoffs.Wait(time.Now(), "app1"), time.Duration(0))
	f.takeSignals(time.Now(), next, answerToRequest, Signals{Leaving: true, RetryAfter: time.Minute, Own: true})
	u, _ = f.fleet.Upstream("app1")
	is.True(u.Leaving)
	is.True(f.backoffs.Wait(time.Now(), "app1") > 0)
}

// TestRequestJudgedBySeveralSends has a trial of a quarantined request go out, whichever send is judged first.
func TestRequestJudgedBySeveralSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, &fakeTransport{})
		x := &exchange{Forwarder: f, call: call("/status/")}
		for _, id := range []string{"e1", "e2", "e3"} {
			x.crashes.Crashed(f.now(), x.fingerprint(), quarantine.Origin{}, quarantine.Upstream{ID: member.UpstreamID(id)})
		}
		is.True(x.held(f.now()))
		time.Sleep(2 * time.Minute)
		var sends sync.WaitGroup
		for range 8 {
			sends.Go(func() { is.True(!x.held(f.now())) })
		}
		sends.Wait()
	})
}
