// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package permit

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedpath/shedpath/member"
	"github.com/shedpath/shedpath/ratelimit"
)

var (
	own   = member.Entry{ID: "h1", Zone: "z1"}
	other = member.Entry{ID: "h2", Zone: "z2"}
)

// fakeSite is a site of which another host says what it is told to.
type fakeSite struct {
	granter      member.Entry
	heard, known int
	unknown      bool
	answer       func(a Ask) (Reply, error)

	asked   []Ask
	heardOf []ratelimit.PeerReport
}

func (s *fakeSite) Granter(time.Time, member.UpstreamID) member.Entry { return s.granter }

func (s *fakeSite) Hosts(time.Time) (heard, known int) { return max(s.heard, 1), max(s.known, 1) }

func (s *fakeSite) Heard(now time.Time) (heard, known int) { return s.Hosts(now) }

func (s *fakeSite) Zone(member.UpstreamID) (member.Zone, bool) { return "z1", !s.unknown }

func (s *fakeSite) AskPeer(_ context.Context, _ member.Entry, a Ask) (Reply, error) {
	s.asked = append(s.asked, a)
	return s.answer(a)
}

func (s *fakeSite) ReceiveWord(_ time.Time, _ member.HostID, m ratelimit.PeerReport) {
	s.heardOf = append(s.heardOf, m)
}

var errAway = errors.New("away")

// granted is a host that gives out all that is asked for.
func granted(Ask) (Reply, error) { return Reply{Decision: ratelimit.Decision{Granted: true}}, nil }

// TestTake has a host get leave from whoever gives out, and from its own turns where that
// one can't be asked.
func TestTake(t *testing.T) {
	for name, c := range map[string]struct {
		site *fakeSite
		took time.Duration
		want Outcome
		late bool
	}{
		"this host gives out": {site: &fakeSite{granter: own}, want: Granted},
		"another does":        {site: &fakeSite{granter: other, answer: granted}, want: Granted},
		"another refuses": {site: &fakeSite{granter: other, answer: func(Ask) (Reply, error) {
			return Reply{Decision: ratelimit.Decision{Wait: time.Second}}, nil
		}}, want: KeptBack},
		"its answer is late": {
			site: &fakeSite{granter: other, answer: granted}, took: lasts + time.Millisecond, want: KeptBack, late: true,
		},
		"it says that this host does": {site: &fakeSite{granter: other, answer: func(Ask) (Reply, error) {
			return Reply{Granter: own}, nil
		}}, want: Granted},
		"each says that another does": {site: &fakeSite{granter: other, answer: func(Ask) (Reply, error) {
			return Reply{Granter: other}, nil
		}}, want: OwnTurn},
		"it doesn't answer": {site: &fakeSite{granter: other, answer: func(Ask) (Reply, error) { return Reply{}, errAway }}, want: OwnTurn},
		"it doesn't know the upstream": {
			site: &fakeSite{granter: other, answer: func(Ask) (Reply, error) { return Reply{Unknown: true}, nil }}, want: OwnTurn,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := New(own, c.site, func() time.Time { return now })
			if answer := c.site.answer; answer != nil {
				c.site.answer = func(a Ask) (Reply, error) {
					now = now.Add(c.took)
					return answer(a)
				}
			}
			r := Request{Upstream: "u", Rate: 4, Rank: 2}
			v := l.Take(t.Context(), r)
			for n := 0; v.Outcome == NoTurn && n < 10; n++ {
				// Its first turn is still to come.
				now = now.Add(v.Wait)
				v = l.Take(t.Context(), r)
			}
			is.Equal(v.Outcome, c.want)
			is.Equal(v.OK(), c.want == Granted || c.want == OwnTurn)
			is.Equal(v.Late, c.late)
			for _, a := range c.site.asked {
				is.Equal(a.PermitRequest, ratelimit.PermitRequest{From: own.ID, Rate: 4, Rank: 2})
			}
		})
	}
}

// TestWait has a host that was refused not ask again before the time that it was told, for
// that upstream alone.
func TestWait(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := &fakeSite{granter: other, answer: func(Ask) (Reply, error) {
		return Reply{Decision: ratelimit.Decision{Wait: time.Second}}, nil
	}}
	l := New(own, s, func() time.Time { return now })
	r := Request{Upstream: "u", Rate: 4}
	is.Equal(l.Take(t.Context(), r).Wait, time.Second)
	is.Equal(l.Wait(now, "u"), time.Second)
	is.Equal(l.Wait(now, "v"), time.Duration(0))
	now = now.Add(999 * time.Millisecond)
	is.Equal(l.Take(t.Context(), r), Verdict{Outcome: KeptBack, Wait: time.Millisecond})
	is.Equal(len(s.asked), 1)
	l.Renew("u")
	l.Take(t.Context(), r)
	is.Equal(len(s.asked), 2)
	l.Forget(now.Add(time.Minute), func(member.UpstreamID) bool { return false })
	is.Equal(len(l.asksAgain.until), 0)
}

// TestUnanswered has a host that didn't answer not be asked for a second: each question costs
// a request the wait for its answer.
func TestUnanswered(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := &fakeSite{granter: other, answer: func(Ask) (Reply, error) { return Reply{}, errAway }}
	l := New(own, s, func() time.Time { return now })
	for range 5 {
		l.Take(t.Context(), Request{Upstream: "u", Rate: 4})
	}
	is.Equal(len(s.asked), 1)
	now = now.Add(unansweredFor)
	l.Take(t.Context(), Request{Upstream: "v", Rate: 4})
	is.Equal(len(s.asked), 2)
}

// TestOnAsk has a host that is asked give out what it is to, and send the others on.
func TestOnAsk(t *testing.T) {
	word := ratelimit.PeerReport{Upstream: "u", HasLimit: true, Rate: 4}
	ask := Ask{Upstream: "u", PermitRequest: ratelimit.PermitRequest{From: "h9", Rate: 4}, HasWord: true, Word: word}
	for name, c := range map[string]struct {
		site *fakeSite
		want Reply
	}{
		"it gives out":             {&fakeSite{granter: own}, Reply{Decision: ratelimit.Decision{Granted: true}}},
		"another does":             {&fakeSite{granter: other}, Reply{Granter: other}},
		"the upstream isn't known": {&fakeSite{granter: own, unknown: true}, Reply{Unknown: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := New(own, c.site, func() time.Time { return now })
			is.Equal(l.OnAsk(ask), c.want)
			is.Equal(c.site.heardOf, []ratelimit.PeerReport{word})
		})
	}
}

// TestGivesItsPart has a host that hears few of those that were known give out their part,
// and half as much again, and never more than the limit.
func TestGivesItsPart(t *testing.T) {
	const rate, over = 10, 40 * time.Second
	for name, c := range map[string]struct {
		heard, known int
		want         float64
	}{"all": {9, 9, 1}, "two thirds": {6, 9, 1}, "a third": {3, 9, 0.5}, "itself": {1, 9, 1.0 / 6}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := New(own, &fakeSite{granter: own, heard: c.heard, known: c.known}, func() time.Time { return now })
			got := 0
			for end := now.Add(over); now.Before(end); now = now.Add(20 * time.Millisecond) {
				if l.Take(t.Context(), Request{Upstream: "u", Rate: rate}).OK() {
					got++
				}
			}
			all := c.want * rate * over.Seconds()
			t.Logf("%d given out of %.0f", got, all)
			is.True(float64(got) <= all+1)
			is.True(float64(got) >= 0.9*all)
		})
	}
}

// TestHostWaitsByALimitThatEnded has a host that was refused at a low limit ask again as soon as
// that has ended, and as often as the bound of an upstream that returns rises.
func TestHostWaitsByALimitThatEnded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	site := &fakeSite{granter: other, answer: func(Ask) (Reply, error) {
		return Reply{Decision: ratelimit.Decision{Wait: 5 * time.Second}}, nil
	}}
	l := New(own, site, func() time.Time { return now })
	take := func() Verdict { return l.Take(t.Context(), Request{Upstream: "u1", Rate: ratelimit.MinRate}) }
	l.Words.Receive(now, "u1", 1, own.ID, ratelimit.AnswerReport{HasLimit: true, Rate: ratelimit.MinRate, ReceivedAt: now})
	is.Equal(take().Wait, 5*time.Second)
	now = now.Add(100 * time.Millisecond)
	is.Equal(l.Words.Receive(now, "u1", 1, own.ID, ratelimit.AnswerReport{SentAt: now}), ratelimit.LimitEnded)
	l.Raised("u1")
	is.Equal(l.Wait(now, "u1"), time.Duration(0))
	is.True(take().Wait <= 500*time.Millisecond) // the bound has doubled by then
	is.Equal(len(site.asked), 2)
}
