// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
)

// deadAddresses simulates upstreams of which some refuse connections.
type deadAddresses struct {
	fakeTransport
	back atomic.Bool
	// refused counts the requests that a dead address refused, and checks the checks of one.
	refused, checks, checksReached atomic.Int64
	// connectTime is how long a connection takes to be refused.
	connectTime time.Duration
}

func (d *deadAddresses) isDead(u Upstream) bool {
	return strings.HasPrefix(string(u.ID), "dead") && !d.back.Load()
}

func (d *deadAddresses) Send(ctx context.Context, u Upstream, r *UpstreamRequest) (*Response, error) {
	if d.isDead(u) {
		PauseFor(ctx, d.connectTime)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
		d.refused.Add(1)
		return nil, ErrNotSent
	}
	return d.fakeTransport.Send(ctx, u, r)
}

func (d *deadAddresses) CheckReachable(_ context.Context, u Upstream) (bool, error) {
	d.checks.Add(1)
	if d.isDead(u) {
		return false, ErrPortClosed
	}
	d.checksReached.Add(1)
	return true, nil
}

// newDeadAddresses returns a host whose list has upstreams of which the given number refuse connections.
func newDeadAddresses(t *testing.T, dead, alive int, connectTime time.Duration) (*Forwarder, *deadAddresses) {
	d := &deadAddresses{connectTime: connectTime}
	d.send = func(context.Context, Upstream, *UpstreamRequest) (*Response, error) {
		time.Sleep(30 * time.Millisecond)
		return answer(200, ""), nil
	}
	f := newForwarder(t, d)
	var list []Upstream
	for n := range dead + alive {
		id := member.UpstreamID(fmt.Sprintf("live%02d", n))
		if n < dead {
			id = member.UpstreamID(fmt.Sprintf("dead%02d", n))
		}
		list = append(list, Upstream{ID: id, Service: "app", Address: fmt.Sprintf("10.1.1.%d:80", n), Zone: "z1", Slots: 6, Revision: rev(2)})
	}
	f.fleet.Replace(time.Now(), list, rev(2))
	return f, d
}

// serveFor sends a call every 10 ms and returns how many got no answer.
func serveFor(t *testing.T, f *Forwarder, d time.Duration, path string) (lost int) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		sink := &fakeSink{}
		f.Serve(t.Context(), call(path), sink)
		if sink.status != 200 {
			lost++
		}
	}
	return lost
}

// TestDeadAddressesCostNoCaller checks that listed addresses at which nothing listens are found out once and then
// cost callers no further attempt, and that an upstream that listens again is used within about a second.
func TestDeadAddressesCostNoCaller(t *testing.T) {
	for name, c := range map[string]struct {
		dead, alive int
		connectTime time.Duration
		path        string
	}{
		"one of two":               {1, 1, time.Millisecond, "/order/"},
		"13 of 16":                 {13, 3, time.Millisecond, "/order/"},
		"13 of 16, safe":           {13, 3, time.Millisecond, "/status/"},
		"13 of 16, slow to refuse": {13, 3, 8 * time.Millisecond, "/order/"},
		"100 of 110":               {100, 10, time.Millisecond, "/order/"},
		"all but one of 40":        {39, 1, time.Millisecond, "/order/"},
		"8 of 9, silent links":     {8, 1, 390 * time.Millisecond, "/order/"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, d := newDeadAddresses(t, c.dead, c.alive, c.connectTime)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				go f.runUnreachedChecks(ctx)
				lost := serveFor(t, f, 3*time.Second, c.path)
				t.Logf("%d calls without an answer while the addresses were found out", lost)
				is.Equal(serveFor(t, f, 30*time.Second, c.path), 0)
				found := d.refused.Load()
				is.True(found <= int64(c.dead)) // each address costs one attempt
				checksPerSecond := int64(minChecksPerTick * time.Second / unreachedCheckTick)
				is.True(d.checks.Load() <= 34*checksPerSecond)
				d.back.Store(true)
				time.Sleep(1500 * time.Millisecond)
				is.Equal(f.fleet.UnreachedCount(), 0)
				is.Equal(d.checksReached.Load(), found) // one connection each
				is.Equal(serveFor(t, f, 15*time.Second, c.path), 0)
				used := slices.Compact(slices.Sorted(slices.Values(d.sentTo())))
				is.Equal(len(used), c.dead+c.alive)
			})
		})
	}
}

// TestDeadAddressesAtFirst checks that calls to a service get an answer while most of its addresses, not yet tried,
// refuse connections.
func TestDeadAddressesAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := 0
		for range 50 {
			f, _ := newDeadAddresses(t, 13, 13, time.Millisecond)
			lost += serveFor(t, f, 500*time.Millisecond, "/order/")
		}
		is.Equal(lost, 0)
	})
}

// TestUnreachedUpstreamIsAnotherNow checks that a new incarnation or address of an unreached upstream is used at once.
func TestUnreachedUpstreamIsAnotherNow(t *testing.T) {
	for name, change := range map[string]func(*Upstream){
		"incarnation": func(u *Upstream) { u.Incarnation++ },
		"address":     func(u *Upstream) { u.Address = "10.1.2.1:80" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			var fleet Fleet
			u := Upstream{ID: "a", Service: "app", Address: "10.1.1.1:80", Zone: "z1", Slots: 1, Incarnation: 7, Revision: rev(1)}
			other := u
			other.ID, other.Address = "b", "10.1.1.2:80"
			fleet.Replace(now, []Upstream{u, other}, rev(1))
			is.True(fleet.MarkUnreached(now, "a"))
			is.True(!fleet.MarkUnreached(now, "a"))
			later := now.Add(time.Hour)
			is.Equal(len(fleet.Available(later, "app")), 1)
			changed := u
			change(&changed)
			changed.Revision = rev(2)
			fleet.Apply(later, []Change{{Upstream: changed}}, rev(2))
			is.Equal(len(fleet.Available(later, "app")), 2)
			is.Equal(fleet.MarkReached(later, u), time.Duration(0)) // a late check of the earlier one
		})
	}
}
