// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/policy"
)

// TestEndsObserved checks which ends of departing engines are learned from. A cut link, or an
// engine that no longer departs, must not shorten the expected notice.
func TestEndsObserved(t *testing.T) {
	const realNotice = 1650 * time.Millisecond
	errCut := errors.New("no answer")
	for name, c := range map[string]struct {
		off   bool
		reach func(since time.Duration) error
		event func(f *Forwarder, id member.UpstreamID)
		least time.Duration
		most  time.Duration
		// departures is how many of four departures count.
		departures int
	}{
		"refuses connections": {departures: 4, least: realNotice - endCheckInterval, most: realNotice, reach: func(since time.Duration) error {
			if since < realNotice {
				return nil
			}
			return ErrPortClosed
		}},
		"serves on":          {departures: 4, least: 2 * time.Second, most: 2 * time.Second, reach: func(time.Duration) error { return nil }},
		"can't be reached":   {least: 2 * time.Second, most: 2 * time.Second, reach: func(time.Duration) error { return errCut }},
		"setting off":        {off: true, least: 2 * time.Second, most: 2 * time.Second, reach: func(time.Duration) error { return ErrPortClosed }},
		"restarted meantime": {least: 2 * time.Second, most: 2 * time.Second, reach: func(time.Duration) error { return ErrPortClosed }, event: func(f *Forwarder, id member.UpstreamID) { f.fleet.ReceiveIncarnation(id, 7) }},
		"listed again": {least: 2 * time.Second, most: 2 * time.Second, reach: func(time.Duration) error { return ErrPortClosed }, event: func(f *Forwarder, id member.UpstreamID) {
			u, _ := f.fleet.Upstream(id)
			u.Leaving, u.Revision = false, rev(5)
			f.fleet.Apply(time.Now(), []Change{{Upstream: u}}, rev(5))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				f := newForwarder(t, &fakeTransport{checkReachable: func(Upstream) error { return c.reach(time.Since(began)) }})
				f.settings.Placement.RoomForMoves = !c.off
				service := f.Table().Services()["llm"]
				for n := range 4 {
					u := Upstream{ID: member.UpstreamID("departing" + string(rune('a'+n))), Service: "llm", Zone: "z1", Revision: rev(uint64(2 + n))}
					began = time.Now()
					f.fleet.Apply(began, []Change{{Upstream: u}}, u.Revision)
					f.fleet.MarkLeaving(began, u.ID, 0, true)
					f.learnNotice(u)
					f.learnNotice(u) // by another run: the departure must count once
					if c.event != nil {
						time.Sleep(100 * time.Millisecond)
						c.event(f, u.ID)
					}
					time.Sleep(4 * time.Second)
					synctest.Wait()
				}
				got := f.expectedNotice(time.Now(), service)
				is.True(got >= c.least)
				is.True(got <= c.most)
				is.Equal(len(f.notices.watched), 0)
				_, departures := f.notices.expected(time.Now(), "llm", f.settings.DrainTime)
				is.Equal(departures, c.departures)
			})
		})
	}
}

// TestLateTurns guards against runs that are cut while they wait for the turn of a busy link: the
// engine ends after 1.6 s, where the drain time is 3 s. With the learned notice, the run stops
// waiting in time and moves without the turn.
func TestLateTurns(t *testing.T) {
	for name, c := range map[string]struct {
		learned, moved bool
	}{
		"drain time":     {},
		"learned notice": {learned: true, moved: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const realNotice = 1600 * time.Millisecond
				began := time.Now()
				transport := &fakeTransport{move: func(ctx context.Context, _ Upstream, r MoveRequest) (MoveResult, error) {
					PauseFor(ctx, 30*time.Millisecond)
					if time.Since(began) > realNotice {
						return MoveResult{}, ErrTargetUnavailable
					}
					return MoveResult{Handle: "h"}, nil
				}, checkReachable: func(Upstream) error { return ErrPortClosed }}
				f := newForwarder(t, transport)
				f.settings.DrainTime, f.settings.Placement.RoomForMoves = 3*time.Second, true
				f.updatePlacementEngines(began, f.Table())
				service := f.Table().Services()["llm"]
				for n := range 4 {
					if c.learned {
						f.notices.observe(began, Upstream{ID: member.UpstreamID(rune('a' + n)), Service: "llm"}, realNotice)
					}
				}
				u, run, _ := f.engines.place(t.Context(), began, "llm", policy.Request{Run: "r1", PromptTokens: 3000, Deadline: began.Add(time.Minute)})
				f.fleet.MarkLeaving(began, u.ID, 0, true)
				f.updatePlacementEngines(began, f.Table())
				ctx, cancel := context.WithTimeout(t.Context(), realNotice)
				defer cancel()
				link := f.turns.queueFor(began, u.ID) // other runs use the link all the time
				link.holder, link.expiresAt = "other", began.Add(time.Minute)
				m := &mover{source: u}
				next := m.evacuate(ctx, &exchange{Forwarder: f, service: service, call: call("/llm/")}, run)
				time.Sleep(5 * time.Second) // the background checks of the engine's end
				is.Equal(next != nil, c.moved)
			})
		})
	}
}

// TestBrokenConnectionsObserved guards against a notice that isn't learned from the runs that an
// engine breaks off when it ends, or is learned from runs that break while the engine listens.
func TestBrokenConnectionsObserved(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want time.Duration
	}{
		"ended":     {ErrPortClosed, 1200 * time.Millisecond},
		"listening": {nil, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &fakeTransport{checkReachable: func(Upstream) error { return c.err }})
			f.settings.Placement.RoomForMoves = true
			service := f.Table().Services()["llm"]
			now := time.Now()
			for n := range 4 {
				u := Upstream{ID: member.UpstreamID(rune('a' + n)), Service: "llm", Zone: "z1", Revision: rev(uint64(2 + n))}
				f.fleet.Apply(now, []Change{{Upstream: u}}, u.Revision)
				f.fleet.MarkLeaving(now, u.ID, 0, true)
				x := &exchange{Forwarder: f, service: service, call: call("/llm/")}
				x.recordBrokenConnection(t.Context(), now.Add(1200*time.Millisecond), u, now, io.EOF)
			}
			is.Equal(f.expectedNotice(now, service), c.want)
		})
	}
}
